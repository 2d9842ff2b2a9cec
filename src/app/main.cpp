#include "command_line.hpp"

int main(int argc, char** argv)
{
    return briarfield::app::run_command_line({argv + 1, argv + argc});
}
