#include <cppunit/extensions/HelperMacros.h>
