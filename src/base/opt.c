#include "base/opt.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PARSE_ERRORS_MAX 4

static void free_table(void **table, uint32_t count)
{
	arg_freetable(table, (size_t)count + 2);
	free(table);
}

/*
 * Argument table for argtable2: one string option for each definition, then
 * --help, then the end marker.
 */
static void **new_table(const struct opt_def *defs, uint32_t count)
{
	void **table = util_alloc((size_t)count + 2, sizeof(*table));
	uint32_t i;

	for (i = 0; i < count; i++)
		table[i] = arg_str0(NULL, defs[i].flag, "VALUE", defs[i].help);
	table[count] = arg_lit0("h", "help", "print this text");
	table[count + 1] = arg_end(PARSE_ERRORS_MAX);
	return table;
}

static enum err_code take_number(const struct opt_def *def, const char *text,
				 int64_t *out, struct err *err)
{
	char *end = NULL;
	int64_t number;

	errno = 0;
	number = strtoll(text, &end, 10);
	if (errno || end == text || *end || number < def->lowest ||
	    number > def->highest)
		return err_set(err, ERR_SETTING,
			       "--%s is \"%.40s\", accepted %" PRId64
			       " to %" PRId64,
			       def->flag, text, def->lowest, def->highest);
	*out = number;
	return ERR_OK;
}

static int ip_ok(const char *text)
{
	unsigned char raw[sizeof(struct in_addr)];

	return inet_pton(AF_INET, text, raw) == 1;
}

static enum err_code take_value(const struct opt_def *def, const char *text,
				struct opt_value *value, struct err *err)
{
	if (def->kind == OPT_NUMBER)
		return take_number(def, text, &value->number, err);
	if (!util_copy_str(value->text, sizeof(value->text), text))
		return err_set(err, ERR_SETTING,
			       "--%s is too long, accepted up to %zu bytes",
			       def->flag, sizeof(value->text) - 1);
	if (def->kind == OPT_IP && !ip_ok(text))
		return err_set(err, ERR_SETTING,
			       "--%s is \"%.40s\", accepted an IPv4 number",
			       def->flag, text);
	if (def->kind == OPT_NAME && !util_name_ok(text, 64))
		return err_set(err, ERR_SETTING,
			       "--%s is \"%.40s\", accepted 1 to 64 of "
			       "A-Z a-z 0-9 . _ : -",
			       def->flag, text);
	return ERR_OK;
}

static enum err_code take_option(const struct opt_def *def,
				 const struct arg_str *arg,
				 struct opt_value *value, struct err *err)
{
	const char *text = arg->count ? arg->sval[0] : getenv(def->env);

	if (!text)
		text = def->default_text;
	if (!text)
		return err_set(err, ERR_SETTING, "--%s (or %s) is required: %s",
			       def->flag, def->env, def->help);
	return take_value(def, text, value, err);
}

/* Position of the definition that @flag names; @count if there is none. */
static uint32_t find_flag(const struct opt_def *defs, uint32_t count,
			  const char *flag)
{
	size_t len = strcspn(flag, "=");
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (strlen(defs[i].flag) == len &&
		    strncmp(defs[i].flag, flag, len) == 0)
			break;
	}
	return i;
}

/* Sets @err for the first bad argument, which argtable2 does not name. */
static void name_bad_argument(int argc, char **argv, const struct opt_def *defs,
			      uint32_t count, struct err *err)
{
	int i;

	for (i = 1; i < argc; i++) {
		const char *flag = argv[i] + strspn(argv[i], "-");
		const char *value = strchr(flag, '=');
		uint32_t pos = find_flag(defs, count, flag);

		if (pos == count) {
			err_set(err, ERR_USAGE,
				"\"%.60s\" is not an option; see --help",
				argv[i]);
			return;
		}
		value = value ? value + 1 : argv[++i];
		if (!value || !value[0]) {
			err_set(err, ERR_USAGE, "--%s has no value",
				defs[pos].flag);
			return;
		}
	}
	err_set(err, ERR_USAGE, "an option is given twice");
}

enum opt_result opt_parse(const struct opt_def *defs, uint32_t count, int argc,
			  char **argv, struct opt_value *values,
			  struct err *err)
{
	void **table = new_table(defs, count);
	int errors = arg_parse(argc, argv, table);
	enum opt_result result = OPT_OK;
	uint32_t i;

	if (((struct arg_lit *)table[count])->count) {
		result = OPT_HELP;
	} else if (errors > 0) {
		name_bad_argument(argc, argv, defs, count, err);
		result = OPT_INVALID;
	}
	for (i = 0; result == OPT_OK && i < count; i++) {
		if (take_option(&defs[i], table[i], &values[i], err) != ERR_OK)
			result = OPT_INVALID;
	}
	free_table(table, count);
	return result;
}

void opt_help(FILE *out, const char *command, const struct opt_def *defs,
	      uint32_t count)
{
	uint32_t i;

	fprintf(out, "usage: cowslippoint %s [--OPTION=VALUE]...\n\n", command);
	for (i = 0; i < count; i++) {
		const struct opt_def *def = &defs[i];

		fprintf(out, "  --%-16s %s", def->flag, def->help);
		if (def->kind == OPT_NUMBER)
			fprintf(out, ", %" PRId64 " to %" PRId64, def->lowest,
				def->highest);
		fprintf(out, "%s%s; %s\n",
			def->default_text ? ", default " : ", required",
			def->default_text ? def->default_text : "", def->env);
	}
}
