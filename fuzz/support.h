#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

/** Runs a rapidcheck property as a doctest check. The seed is taken from RC_PARAMS. */
#define CHECK_PROPERTY(...) CHECK(rc::check(__VA_ARGS__))
