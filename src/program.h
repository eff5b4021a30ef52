/* Entry point of the program library, which src/main.c loads. */
#ifndef PROGRAM_H
#define PROGRAM_H

/* Name of the library's file, beside that of the program. */
#define PROGRAM_LIBRARY "libcowslippoint.so"
/* Name of program_main() in the library. */
#define PROGRAM_MAIN "program_main"

/* Runs the subcommand that argv[1] names; returns the exit status. */
__attribute__((visibility("default"))) int program_main(int argc, char **argv);

#endif
