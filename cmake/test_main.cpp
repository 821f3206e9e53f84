// Runs every registered CppUnit suite; exits 1 when one fails.

#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>

int main() {
    CppUnit::TextUi::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.setOutputter(
        new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
    return runner.run("", false, true, false) ? 0 : 1;
}
