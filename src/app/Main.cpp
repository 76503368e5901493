#include "app/Commands.h"

int main(int argc, char** argv) { return hickoryknot::runCommand(argc, argv); }
