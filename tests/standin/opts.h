/* Decodes options from a table: as "--key value" or "key=value" words. */
#ifndef STANDIN_OPTS_H
#define STANDIN_OPTS_H

#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

enum opt_kind { OPT_TEXT, OPT_NUMBER };

struct opt {
	const char *key;
	enum opt_kind kind;
	/* Offset of the char array or uint32_t in the struct that is filled. */
	size_t offset;
	/* Number: the accepted range. Text: @most is the size of the array. */
	int64_t least;
	int64_t most;
};

/*
 * Sets the option @key of the struct @into. ERR_USAGE for an unknown key,
 * ERR_SETTING for a number out of range or a text that is too long.
 */
enum err_code opts_set(const struct opt *table, uint32_t count, void *into,
		       const char *key, const char *value, struct err *err);
/* Sets the options of the "--key value" pairs in @argv. */
enum err_code opts_args(const struct opt *table, uint32_t count, void *into,
			int argc, char **argv, struct err *err);
/* Sets the options of the "key=value" words in @line, which it changes. */
enum err_code opts_line(const struct opt *table, uint32_t count, void *into,
			char *line, struct err *err);

#endif
