/*
 * Scripted runs with expected output. Each line of the file
 * tests/scripts/AREA-NAME.script is a command with words separated by blanks; a
 * line that starts with '#' is a comment. Each command line is echoed behind
 * "> " before its output, and the whole output is compared with
 * AREA-NAME.expected.
 */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <stdint.h>

#include "base/util.h"

#define SCRIPT_WORDS_MAX 32

/*
 * Runs one command with its arguments @argv, without the command itself.
 * Appends its output, whole lines, to @out.
 */
typedef void script_fn(void *ctx, uint32_t argc, char **argv, struct buf *out);

struct script_command {
	const char *name;
	script_fn *fn;
};

struct script_area {
	/* Part of the names of its script files before the first '-'. */
	const char *name;
	/* Makes the state that the commands of one script share. */
	void *(*ctx_new)(void);
	void (*ctx_free)(void *ctx);
	uint32_t command_count;
	const struct script_command *commands;
};

/* Value of the word "NAME=VALUE" for @name in @argv, or @fallback. */
const char *script_arg(uint32_t argc, char **argv, const char *name,
		       const char *fallback);
/* The same as a decimal number. */
int64_t script_int(uint32_t argc, char **argv, const char *name,
		   int64_t fallback);
uint32_t script_u32(uint32_t argc, char **argv, const char *name,
		    uint32_t fallback);

/*
 * Appends the words from position @from on to @text, joined by blanks;
 * <TEXT*COUNT> in a word stands for COUNT times TEXT, such as <x*70>.
 */
void script_text(uint32_t argc, char **argv, uint32_t from, struct buf *text);

/* Folder of all scripts, relative to the one that tests run in. */
#define SCRIPT_DIR "tests/scripts"

/*
 * main() of a test program that has only scripts: initializes the libraries
 * and runs the scripts of all @areas. Returns the exit status.
 */
int script_main(int argc, char **argv, const struct script_area *areas,
		uint32_t area_count);
/* Adds one GLib test for each script of @area below @dir. */
void script_register(const struct script_area *area, const char *dir);

#endif
