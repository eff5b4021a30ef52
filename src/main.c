/*
 * Blocks the signals that a host handles, then loads the program. The libraries
 * that the program needs take several ms to load; a signal in this time would
 * end a host that has just been started. So this file needs none of them.
 */
#include <dlfcn.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/signals.h"
#include "program.h"

#define PATH_BYTES 4096

/* Loads the library beside the program that @command names; NULL: it fails. */
static void *load_beside(const char *command)
{
	const char *slash = strrchr(command, '/');
	char path[PATH_BYTES];
	int len;

	if (!slash)
		return NULL;
	len = snprintf(path, sizeof(path), "%.*s/%s", (int)(slash - command),
		       command, PROGRAM_LIBRARY);
	return len < (int)sizeof(path) ? dlopen(path, RTLD_NOW) : NULL;
}

/* @command from the current folder on, if it lies below it; else @command. */
static const char *relative(const char *command)
{
	char folder[PATH_BYTES];
	size_t len;

	if (!getcwd(folder, sizeof(folder)))
		return command;
	len = strlen(folder);
	if (strncmp(command, folder, len) != 0 || command[len] != '/')
		return command;
	return command + len + 1;
}

/*
 * Loads the library from the folder of the program: its run path, or else, where
 * the system does not tell that, the folder in @command, its argv[0]. A process
 * whose view of the files differs from that of its parent may find this folder
 * from the current one only.
 */
static void *load(const char *command)
{
	void *library = dlopen(PROGRAM_LIBRARY, RTLD_NOW);

	if (!library)
		library = load_beside(command);
	if (!library)
		library = load_beside(relative(command));
	return library;
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
