/* Functions of the commands, and the table of commands. */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl_internal.h"

const char *ctl_operand(const struct ctl *c, uint32_t i)
{
	return c->args.words[c->args.word_count - 1 - i];
}

/*
 * Reads the JSON object in @file, "-" for standard input. On failure prints the
 * error, sets @result to the exit code and returns NULL.
 */
static json_t *read_document(const struct ctl *c, const char *file, int *result)
{
	FILE *f = strcmp(file, "-") == 0 ? stdin : fopen(file, "r");
	struct err err = { 0 };
	json_error_t error;
	json_t *doc;

	if (!f) {
		err_set(&err, ERR_IO, "cannot read %s", file);
		*result = ctl_fail(c, CTL_USAGE, &err);
		return NULL;
	}
	doc = json_loadf(f, 0, &error);
	if (f != stdin)
		fclose(f);
	if (json_is_object(doc))
		return doc;
	json_decref(doc);
	err_set(&err, ERR_BAD_JSON, "%s, line %d: %s", file,
		doc ? 1 : error.line,
		doc ? "document is not an object" : error.text);
	*result = ctl_fail(c, CTL_REFUSED, &err);
	return NULL;
}

static int print_raw(const struct ctl *c, const struct ctl_answer *a)
{
	c->io->print(c->io->ctx, CTL_STDOUT, a->text.data);
	c->io->print(c->io->ctx, CTL_STDOUT, "\n");
	return CTL_DONE;
}

static int print_document(const struct ctl *c, const json_t *doc)
{
	char *text CLEANUP_FREE = json_dumps(doc, JSON_INDENT(2));

	c->io->print(c->io->ctx, CTL_STDOUT, text);
	c->io->print(c->io->ctx, CTL_STDOUT, "\n");
	return CTL_DONE;
}

/* Kind of document that a command reads or writes. */
struct document {
	/*
	 * Path of these documents in the admin API; also the name of the array
	 * in an answer that lists them.
	 */
	const char *collection;
	/* Field of the document that contains its name. */
	const char *key;
};

static const struct document contract_doc = { "contracts", "customer" };
static const struct document index_doc = { "indexes", "index" };

/*
 * Sets @path to the path of @doc with @verb ("" or such as "/diff") after it
 * and returns 1. When @doc has no valid name, prints an error and returns 0.
 */
static int document_path(const struct ctl *c, const struct document *d,
			 const json_t *doc, const char *verb, char *path,
			 size_t size_bytes)
{
	const char *name = ctl_json_text(doc, d->key);
	struct err err = { 0 };

	if (util_name_ok(name, 64)) {
		snprintf(path, size_bytes, "%s/%s%s", d->collection, name,
			 verb);
		return 1;
	}
	err_set(&err, ERR_CFG_FIELD,
		"%s is missing or not valid, accepted 1 to 64 of "
		"a-z A-Z 0-9 . _ : -",
		d->key);
	ctl_fail(c, CTL_REFUSED, &err);
	return 0;
}

static int apply_document(const struct ctl *c, const struct document *d)
{
	int result = CTL_REFUSED;
	json_t *doc = read_document(c, ctl_operand(c, 0), &result);
	char *body CLEANUP_FREE = NULL;
	char path[128];

	if (doc && document_path(c, d, doc, "", path, sizeof(path))) {
		body = json_dumps(doc, JSON_COMPACT);
		result = ctl_send_change(c, "PUT", path, body);
	}
	json_decref(doc);
	return result;
}

static int list_documents(const struct ctl *c, const struct document *d,
			  const struct ctl_answer *a)
{
	const json_t *items = json_object_get(a->json, d->collection);
	size_t i;
	json_t *item;

	json_array_foreach(items, i, item) ctl_printf(
		c, CTL_STDOUT, "%s  revision %lld by %s\n",
		ctl_json_text(item, "item"),
		(long long)json_integer_value(json_object_get(item, "revisio"
								    "n")),
		ctl_json_text(item, "who"));
	return CTL_DONE;
}

static int show_document(const struct ctl *c, const struct document *d)
{
	struct ctl_answer a CLEANUP(ctl_answer_clear) = { 0 };
	int named = c->args.word_count == 3;
	char path[256];
	int result;

	snprintf(path, sizeof(path), "%s%s%s", d->collection, named ? "/" : "",
		 named ? ctl_operand(c, 0) : "");
	result = ctl_call(c, "GET", path, NULL, &a);
	if (result != CTL_DONE)
		return result;
	if (c->args.as_json)
		return print_raw(c, &a);
	if (!named)
		return list_documents(c, d, &a);
	return print_document(c, json_object_get(a.json, "document"));
}

static int contract_apply(const struct ctl *c)
{
	return apply_document(c, &contract_doc);
}

static int contract_show(const struct ctl *c)
{
	return show_document(c, &contract_doc);
}

static int index_apply(const struct ctl *c)
{
	return apply_document(c, &index_doc);
}

static int index_show(const struct ctl *c)
{
	return show_document(c, &index_doc);
}

static int post_document(const struct ctl *c, const char *verb,
			 struct ctl_answer *a)
{
	int result = CTL_REFUSED;
	json_t *doc = read_document(c, ctl_operand(c, 0), &result);
	char *body CLEANUP_FREE = NULL;
	char path[128];

	if (doc &&
	    document_path(c, &contract_doc, doc, verb, path, sizeof(path))) {
		body = json_dumps(doc, JSON_COMPACT);
		result = ctl_call(c, "POST", path, body, a);
	}
	json_decref(doc);
	return result;
}

static int contract_validate(const struct ctl *c)
{
	struct ctl_answer a CLEANUP(ctl_answer_clear) = { 0 };
	int result = post_document(c, "/validate", &a);

	if (result != CTL_DONE)
		return result;
	if (c->args.as_json)
		return print_raw(c, &a);
	ctl_printf(c, CTL_STDOUT, "valid\n");
	return CTL_DONE;
}

static const char *or_absent(const char *text)
{
	return text[0] ? text : "(absent)";
}

static int contract_diff(const struct ctl *c)
{
	struct ctl_answer a CLEANUP(ctl_answer_clear) = { 0 };
	int result = post_document(c, "/diff", &a);
	size_t i;
	json_t *d;

	if (result != CTL_DONE)
		return result;
	if (c->args.as_json)
		return print_raw(c, &a);
	json_array_foreach(json_object_get(a.json, "differences"), i, d)
		ctl_printf(c, CTL_STDOUT, "%s: %s -> %s\n",
			   ctl_json_text(d, "field"),
			   or_absent(ctl_json_text(d, "before")),
			   or_absent(ctl_json_text(d, "after")));
	if (i == 0)
		ctl_printf(c, CTL_STDOUT, "no difference\n");
	return CTL_DONE;
}

static int set_state(const struct ctl *c, const char *collection)
{
	char path[256];

	snprintf(path, sizeof(path), "%s/%s/%s", collection, ctl_operand(c, 0),
		 c->args.words[1]);
	return ctl_send_change(c, "POST", path, NULL);
}

static int dc_set(const struct ctl *c)
{
	return set_state(c, "data-centres");
}

static int host_set(const struct ctl *c)
{
	return set_state(c, "hosts");
}

static int version_start(const struct ctl *c)
{
	char *body CLEANUP_FREE = NULL;
	json_t *obj = json_pack("{s:s,s:s,s:i}", "from", c->args.from, "to",
				c->args.to, "finish_in_s", c->args.finish_in_s);
	char path[256];

	body = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	snprintf(path, sizeof(path), "versions/%s/start", ctl_operand(c, 0));
	return ctl_send_change(c, "POST", path, body);
}

static int version_abort(const struct ctl *c)
{
	char *body CLEANUP_FREE = NULL;
	json_t *obj = json_pack("{s:s}", "reason", c->args.reason);
	char path[256];

	body = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	snprintf(path, sizeof(path), "versions/%s/abort", ctl_operand(c, 0));
	return ctl_send_change(c, "POST", path, body);
}

static void print_version(const struct ctl *c, const json_t *v)
{
	const char *bad = ctl_json_text(v, "bad");

	ctl_printf(c, CTL_STDOUT, "%s: %s to %s, %s, %lld of 1000\n",
		   ctl_json_text(v, "service"), ctl_json_text(v, "from"),
		   ctl_json_text(v, "to"), ctl_json_text(v, "state"),
		   (long long)json_integer_value(json_object_get(v, "share_"
								    "here_"
								    "permill"
								    "e")));
	if (bad[0])
		ctl_printf(c, CTL_STDOUT, "bad: %s\n", bad);
	ctl_printf(c, CTL_STDOUT, "evidence against it: %.1f of %.1f\n",
		   (double)json_integer_value(json_object_get(v, "score_"
								 "milli")) /
			   1000.0,
		   (double)json_integer_value(json_object_get(v, "threshold_"
								 "milli")) /
			   1000.0);
}

static int version_status(const struct ctl *c)
{
	struct ctl_answer a CLEANUP(ctl_answer_clear) = { 0 };
	char path[256];
	int result;

	snprintf(path, sizeof(path), "versions/%s", ctl_operand(c, 0));
	result = ctl_call(c, "GET", path, NULL, &a);
	if (result != CTL_DONE)
		return result;
	if (c->args.as_json)
		return print_raw(c, &a);
	print_version(c, a.json);
	return CTL_DONE;
}

static int show_status(const struct ctl *c)
{
	struct ctl_answer a CLEANUP(ctl_answer_clear) = { 0 };
	int result = ctl_call(c, "GET", "status", NULL, &a);
	size_t i;
	json_t *h;

	if (result != CTL_DONE)
		return result;
	if (c->args.as_json)
		return print_raw(c, &a);
	c->io->print(c->io->ctx, CTL_STDOUT, ctl_json_text(a.json, "text"));
	json_array_foreach(json_object_get(a.json, "hosts"), i, h) ctl_printf(
		c, CTL_STDOUT, "  %-20s data centre %-10s %-8s %lld\n",
		ctl_json_text(h, "host"), ctl_json_text(h, "data_centre"),
		ctl_json_text(h, "state"),
		(long long)json_integer_value(json_object_get(h, "revision")));
	return CTL_DONE;
}

static int show_change(const struct ctl *c)
{
	return ctl_show_change(c, ctl_operand(c, 0));
}

/* The fields of struct ctl_command in turn. */
#define COMMANDS(DEF)                                                         \
	DEF("contract", "apply", 1, 1, CTL_OPT_CHANGE, 0, "FILE",             \
	    "put a customer's contract into effect", contract_apply)          \
	DEF("contract", "show", 0, 1, 0, 0, "[CUSTOMER]",                     \
	    "show one contract, or list all", contract_show)                  \
	DEF("contract", "diff", 1, 1, 0, 0, "FILE",                           \
	    "compare a contract with the one in effect", contract_diff)       \
	DEF("contract", "validate", 1, 1, 0, 0, "FILE",                       \
	    "check a contract without applying it", contract_validate)        \
	DEF("index", "apply", 1, 1, CTL_OPT_CHANGE, 0, "FILE",                \
	    "put an index's layout into effect", index_apply)                 \
	DEF("index", "show", 0, 1, 0, 0, "[INDEX]",                           \
	    "show one layout, or list all", index_show)                       \
	DEF("dc", "out", 1, 1, CTL_OPT_CHANGE, 0, "DATA_CENTRE",              \
	    "take a data centre out of service", dc_set)                      \
	DEF("dc", "in", 1, 1, CTL_OPT_CHANGE, 0, "DATA_CENTRE",               \
	    "bring a data centre back", dc_set)                               \
	DEF("host", "out", 1, 1, CTL_OPT_CHANGE, 0, "HOST",                   \
	    "take a target or entry host out", host_set)                      \
	DEF("host", "in", 1, 1, CTL_OPT_CHANGE, 0, "HOST",                    \
	    "bring a target or entry host back", host_set)                    \
	DEF("version", "start", 1, 1, CTL_OPT_START | CTL_OPT_CHANGE,         \
	    CTL_OPT_START, "SERVICE", "roll out a version by evidence",       \
	    version_start)                                                    \
	DEF("version", "status", 1, 1, 0, 0, "SERVICE",                       \
	    "show a service's rollout", version_status)                       \
	DEF("version", "abort", 1, 1, CTL_OPT_REASON | CTL_OPT_CHANGE, 0,     \
	    "SERVICE", "stop a rollout and return to the old version",        \
	    version_abort)                                                    \
	DEF("status", NULL, 0, 0, 0, 0, "", "show hosts, changes and alarms", \
	    show_status)                                                      \
	DEF("change", NULL, 1, 1, CTL_OPT_WAIT, 0, "ID",                      \
	    "show what became of a change", show_change)                      \
	DEF("report", NULL, 0, 1, CTL_OPT_SVG, 0, "[CUSTOMER]",               \
	    "show the service-level burn", ctl_report)

const struct ctl_command ctl_commands[] = {
#define DEF(object, verb, operands_min, operands_max, options, required, \
	    operands, help, fn)                                          \
	{                                                                \
		object,	      verb,    operands_min,                     \
		operands_max, options, required,                         \
		operands,     help,    fn                                \
	},
	COMMANDS(DEF)
#undef DEF
};

const uint32_t ctl_command_count = countof(ctl_commands);
