// Tests.
#include <doctest/doctest.h>
