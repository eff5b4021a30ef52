/*
 * Blocks the signals that a host handles, then loads the program. The libraries
 * that the program needs take several ms to load; a signal in this time would
 * end a host that has just been started. So this file needs none of them.
 */
#include <dlfcn.h>
#include <stdio.h>
#include <string.h>

#include "base/signals.h"
#include "program.h"

#define PATH_BYTES 4096

/*
 * Loads the library from the folder of the program, or else, where the system
 * does not tell that, from the one that @command, its argv[0], names.
 */
static void *load(const char *command)
{
	const char *slash = strrchr(command, '/');
	/* The run path of the program is its folder. */
	void *library = dlopen(PROGRAM_LIBRARY, RTLD_NOW);
	char path[PATH_BYTES];
	int len;

	if (library || !slash)
		return library;
	len = snprintf(path, sizeof(path), "%.*s/%s", (int)(slash - command),
		       command, PROGRAM_LIBRARY);
	return len < (int)sizeof(path) ? dlopen(path, RTLD_NOW) : NULL;
}

int main(int argc, char **argv)
{
	int (*run)(int argc, char **argv) = NULL;
	void *library;

	signals_block();
	library = load(argc ? argv[0] : "");
	if (library)
		*(void **)&run = dlsym(library, PROGRAM_MAIN);
	if (!run) {
		fprintf(stderr, "cowslippoint: %s\n", dlerror());
		return 1;
	}
	return run(argc, argv);
}
