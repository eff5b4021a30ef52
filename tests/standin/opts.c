#include "opts.h"

#include <errno.h>
#include <string.h>

static const struct opt *find(const struct opt *table, uint32_t count,
			      const char *key)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(table[i].key, key) == 0)
			return &table[i];
	}
	return NULL;
}

enum err_code opts_set(const struct opt *table, uint32_t count, void *into,
		       const char *key, const char *value, struct err *err)
{
	const struct opt *o = find(table, count, key);
	char *field;
	char *end;
	long long number;

	if (!o)
		return err_set(err, ERR_USAGE, "no option %s", key);
	field = (char *)into + o->offset;
	if (o->kind == OPT_TEXT) {
		if (!util_copy_str(field, (size_t)o->most, value))
			return err_set(err, ERR_SETTING,
				       "%s is below %lld bytes", key,
				       (long long)o->most);
		return ERR_OK;
	}
	errno = 0;
	number = strtoll(value, &end, 10);
	if (errno || end == value || *end || number < o->least ||
	    number > o->most)
		return err_set(err, ERR_SETTING, "%s is %lld to %lld", key,
			       (long long)o->least, (long long)o->most);
	*(uint32_t *)field = (uint32_t)number;
	return ERR_OK;
}

enum err_code opts_args(const struct opt *table, uint32_t count, void *into,
			int argc, char **argv, struct err *err)
{
	int i;

	for (i = 0; i < argc; i += 2) {
		enum err_code code;

		if (strncmp(argv[i], "--", 2) != 0 || i + 1 == argc)
			return err_set(err, ERR_USAGE,
				       "expected --option value at %s",
				       argv[i]);
		code = opts_set(table, count, into, argv[i] + 2, argv[i + 1],
				err);
		if (code != ERR_OK)
			return code;
	}
	return ERR_OK;
}

enum err_code opts_line(const struct opt *table, uint32_t count, void *into,
			char *line, struct err *err)
{
	char *save = NULL;
	char *word;

	for (word = strtok_r(line, " \t\r\n", &save); word;
	     word = strtok_r(NULL, " \t\r\n", &save)) {
		char *value = strchr(word, '=');
		enum err_code code;

		if (!value)
			return err_set(err, ERR_USAGE, "expected key=value: %s",
				       word);
		*value++ = '\0';
		code = opts_set(table, count, into, word, value, err);
		if (code != ERR_OK)
			return code;
	}
	return ERR_OK;
}
