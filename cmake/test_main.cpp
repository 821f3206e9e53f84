// Runs every registered CppUnit suite, or the test that the argument names;
// exits 1 when one fails.

#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>
#include <string>

int main(int argc, char** argv) {
    CppUnit::TextUi::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.setOutputter(
        new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
    const std::string test = argc > 1 ? argv[1] : "";
    return runner.run(test, false, true, false) ? 0 : 1;
}
