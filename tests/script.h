/*
 * Scripted runs: each tests/scripts/AREA-NAME.script is read line by line,
 * each line is a command with words separated by blanks, and what the
 * commands print is compared with AREA-NAME.expected. '#' starts a comment;
 * each line is echoed as "> line" before its output.
 */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <stdint.h>

#include "base/util.h"

#define SCRIPT_WORDS_MAX 32

/* Runs one command; appends its output, each line with a newline, to @out. */
typedef void script_fn(void *ctx, uint32_t argc, char **argv, struct buf *out);

struct script_command {
	const char *name;
	script_fn *fn;
};

struct script_area {
	/* Part of the file name before the first '-'. */
	const char *name;
	/* Makes the state that the commands share, fresh for each script. */
	void *(*ctx_new)(void);
	void (*ctx_free)(void *ctx);
	uint32_t command_count;
	const struct script_command *commands;
};

/* Value of "name=value" among @argv, or @fallback. */
const char *script_arg(uint32_t argc, char **argv, const char *name,
		       const char *fallback);
int64_t script_int(uint32_t argc, char **argv, const char *name,
		   int64_t fallback);

uint32_t script_u32(uint32_t argc, char **argv, const char *name,
		    uint32_t fallback);

/* Where all scripts are, below the folder that tests run in. */
#define SCRIPT_DIR "tests/scripts"

/*
 * main() of a test program that has only scripts: prepares the libraries and
 * runs the scripts of all @areas. Returns the exit status.
 */
int script_main(int argc, char **argv, const struct script_area *areas,
		uint32_t area_count);
/* Adds one GLib test for each script of @area below @dir. */
void script_register(const struct script_area *area, const char *dir);

#endif
