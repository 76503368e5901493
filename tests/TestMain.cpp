#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/TextTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>

// Runs every registered test, or the one whose path is given as the first argument.
int main(int argc, char** argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::TextTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller, argc > 1 ? argv[1] : "");

    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const int failed = collector.testFailuresTotal();
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed" << std::endl;
    return failed || !collector.runTests() ? 1 : 0;
}
