#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

/** Runs a rapidcheck property as a check of doctest; the seed comes from RC_PARAMS. */
#define CHECK_PROPERTY(...) CHECK(rc::check(__VA_ARGS__))
