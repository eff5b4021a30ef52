/* Options as "--key value" words or "key=value" words, from one table. */
#ifndef STANDIN_OPTS_H
#define STANDIN_OPTS_H

#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

enum opt_kind { OPT_TEXT, OPT_NUMBER };

struct opt {
	const char *key;
	enum opt_kind kind;
	/* Place of the char array or the uint32_t in the struct that is set. */
	size_t offset;
	/* Text: size of the array; number: least and most. */
	int64_t least;
	int64_t most;
};

/* Sets one option of @into; ERR_SETTING or ERR_USAGE with the key in @err. */
enum err_code opts_set(const struct opt *table, uint32_t count, void *into,
		       const char *key, const char *value, struct err *err);
/* Sets "--key value" pairs in @argv. */
enum err_code opts_args(const struct opt *table, uint32_t count, void *into,
			int argc, char **argv, struct err *err);
/* Sets "key=value" words in @line, which is cut up. */
enum err_code opts_line(const struct opt *table, uint32_t count, void *into,
			char *line, struct err *err);

#endif
