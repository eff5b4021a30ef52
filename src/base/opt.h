/*
 * Settings in flags and environment variables: a table describes each option,
 * a flag goes before its environment variable, that before the default.
 */
#ifndef OPT_H
#define OPT_H

#include <stdint.h>
#include <stdio.h>

#include "base/err.h"

enum opt_kind { OPT_NUMBER, OPT_TEXT, OPT_IP, OPT_NAME };

struct opt_def {
	/* Long flag without the dashes, such as "caller-port". */
	const char *flag;
	/* Environment variable. */
	const char *env;
	enum opt_kind kind;
	/* NULL: the option is required. */
	const char *default_text;
	/* OPT_NUMBER: accepted range. */
	int64_t lowest;
	int64_t highest;
	const char *help;
};

struct opt_value {
	int64_t number;
	char text[256];
};

enum opt_result { OPT_OK, OPT_HELP, OPT_INVALID };

/*
 * Parses @argv (argv[0] is skipped). OPT_INVALID: @err names the flag, the value
 * and the accepted range.
 */
enum opt_result opt_parse(const struct opt_def *defs, uint32_t count, int argc,
			  char **argv, struct opt_value *values,
			  struct err *err);
void opt_help(FILE *out, const char *command, const struct opt_def *defs,
	      uint32_t count);

#endif
