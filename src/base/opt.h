/*
 * Settings from command-line flags and environment variables. A table describes
 * the options. A flag has precedence over the environment variable of the
 * option, and the variable over the default.
 */
#ifndef OPT_H
#define OPT_H

#include <stdint.h>
#include <stdio.h>

#include "base/err.h"

/* OPT_IP: IPv4 address. OPT_NAME: name that util_name_ok() accepts. */
enum opt_kind { OPT_NUMBER, OPT_TEXT, OPT_IP, OPT_NAME };

struct opt_def {
	/* Long flag without the dashes, such as "caller-port". */
	const char *flag;
	/* Name of the environment variable. */
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
	/* Of an OPT_NUMBER; the other kinds have text. */
	int64_t number;
	char text[256];
};

/* OPT_HELP: --help was given, and no values are set. */
enum opt_result { OPT_OK, OPT_HELP, OPT_INVALID };

/*
 * Parses @argv (argv[0] is skipped) and fills one entry of @values for each
 * entry of @defs. OPT_INVALID: @err names the flag, the value and the accepted
 * range.
 */
enum opt_result opt_parse(const struct opt_def *defs, uint32_t count, int argc,
			  char **argv, struct opt_value *values,
			  struct err *err);
/* Writes the usage of @command with one line for each option. */
void opt_help(FILE *out, const char *command, const struct opt_def *defs,
	      uint32_t count);

#endif
