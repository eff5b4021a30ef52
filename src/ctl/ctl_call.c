/* Calls of the admin API and polling of changes; see ctl_internal.h. */
#ifndef _GNU_SOURCE
#define _GNU_SOURCE
#endif
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl_internal.h"

/* Time between two polls; a change takes effect everywhere within 10 s. */
#define POLL_MS 500

void ctl_answer_clear(struct ctl_answer *a)
{
	buf_free(&a->text);
	json_decref(a->json);
	memset(a, 0, sizeof(*a));
}

void ctl_printf(const struct ctl *c, enum ctl_stream to, const char *fmt, ...)
{
	char *text CLEANUP_FREE = NULL;
	va_list ap;
	int len;

	va_start(ap, fmt);
	len = vasprintf(&text, fmt, ap);
	va_end(ap);
	if (len < 0)
		text = NULL;
	c->io->print(c->io->ctx, to, text ? text : "");
}

int ctl_fail(const struct ctl *c, int result, const struct err *err)
{
	ctl_printf(c, CTL_STDERR, "ctl: %s (%d %s)\n", err->detail,
		   (int)err->code, err_name(err->code));
	return result;
}

const char *ctl_json_text(const json_t *obj, const char *field)
{
	const char *text = json_string_value(json_object_get(obj, field));

	return text ? text : "";
}

enum err_code ctl_call_one(const struct ctl *c, const char *address,
			   const char *method, const char *path,
			   const char *body, struct ctl_answer *out,
			   struct err *err)
{
	enum err_code code = c->io->call(c->io->ctx, address, c->args.token,
					 method, path, body, &out->http_status,
					 &out->text, err);

	if (code != ERR_OK)
		return code;
	out->json = json_loads(out->text.data ? out->text.data : "", 0, NULL);
	if (!json_is_object(out->json))
		return err_set(err, ERR_BAD_JSON,
			       "answer of %s is not an admin answer", address);
	return ERR_OK;
}

int ctl_print_refusal(const struct ctl *c, const struct ctl_answer *a)
{
	if (c->args.as_json)
		ctl_printf(c, CTL_STDERR, "%s\n", a->text.data);
	else
		ctl_printf(c, CTL_STDERR, "refused: %s (%lld %s)\n",
			   ctl_json_text(a->json, "detail"),
			   (long long)json_integer_value(
				   json_object_get(a->json, "code")),
			   ctl_json_text(a->json, "error"));
	return CTL_REFUSED;
}

int ctl_call(const struct ctl *c, const char *method, const char *path,
	     const char *body, struct ctl_answer *out)
{
	struct err err = { 0 };
	enum err_code code = ERR_IO;
	uint32_t i;

	/* Another address is tried only while nothing has been sent. */
	for (i = 0; i < c->args.address_count && code == ERR_IO; i++)
		code = ctl_call_one(c, c->args.addresses[i], method, path, body,
				    out, &err);
	if (code != ERR_OK)
		return ctl_fail(c, CTL_NOT_REACHABLE, &err);
	if (out->http_status != 200)
		return ctl_print_refusal(c, out);
	return CTL_DONE;
}

static int exit_of_state(const char *state)
{
	int failed = strcmp(state, "rolled_back") == 0 ||
		     strcmp(state, "aborted") == 0;

	return failed ? CTL_REFUSED : CTL_DONE;
}

static int in_progress(const struct ctl_answer *a)
{
	return strcmp(ctl_json_text(a->json, "state"), "in_progress") == 0;
}

static int print_change(const struct ctl *c, const struct ctl_answer *a)
{
	if (c->args.as_json)
		ctl_printf(c, CTL_STDOUT, "%s\n", a->text.data);
	else
		ctl_printf(c, CTL_STDOUT, "change %s (%s): %s",
			   ctl_json_text(a->json, "change"),
			   ctl_json_text(a->json, "item"),
			   ctl_json_text(a->json, "statement"));
	return exit_of_state(ctl_json_text(a->json, "state"));
}

/*
 * On a terminal and without --json, prints the first line of the statement on
 * the change if it differs from @last, and copies it to @last.
 */
static void show_progress(const struct ctl *c, const struct ctl_answer *a,
			  char *last, size_t size_bytes)
{
	const char *statement = ctl_json_text(a->json, "statement");
	size_t len = strcspn(statement, "\n");
	char line[256];

	if (!c->io->is_terminal || c->args.as_json)
		return;
	snprintf(line, sizeof(line), "%.*s", (int)len, statement);
	if (strcmp(line, last) == 0)
		return;
	util_copy_str(last, size_bytes, line);
	ctl_printf(c, CTL_STDERR, "%s\n", line);
}

/*
 * Polls change @id until it has ended or the pauses between the polls add up to
 * --timeout.
 */
static int wait_for_change(const struct ctl *c, const char *id)
{
	uint32_t polls = (uint32_t)c->args.timeout_s * MS_PER_S / POLL_MS;
	char path[64];
	char last[256] = "";
	uint32_t i;

	snprintf(path, sizeof(path), "changes/%s", id);
	for (i = 0;; i++) {
		struct ctl_answer a CLEANUP(ctl_answer_clear) = { 0 };
		int result = ctl_call(c, "GET", path, NULL, &a);

		if (result != CTL_DONE)
			return result;
		if (!in_progress(&a))
			return print_change(c, &a);
		show_progress(c, &a, last, sizeof(last));
		if (i >= polls) {
			print_change(c, &a);
			ctl_printf(c, CTL_STDERR,
				   "ctl: not done within %d s; 'ctl change %s "
				   "--wait' waits on\n",
				   c->args.timeout_s, id);
			return CTL_REFUSED;
		}
		c->io->sleep_ms(c->io->ctx, POLL_MS);
	}
}

int ctl_show_change(const struct ctl *c, const char *id)
{
	struct ctl_answer a CLEANUP(ctl_answer_clear) = { 0 };
	char path[128];
	int result;

	if (c->args.wait)
		return wait_for_change(c, id);
	snprintf(path, sizeof(path), "changes/%s", id);
	result = ctl_call(c, "GET", path, NULL, &a);
	return result == CTL_DONE ? print_change(c, &a) : result;
}

int ctl_send_change(const struct ctl *c, const char *method, const char *path,
		    const char *body)
{
	struct ctl_answer a CLEANUP(ctl_answer_clear) = { 0 };
	char full[320];
	int result;

	if (c->args.if_rev)
		snprintf(full, sizeof(full), "%s?if_rev=%lld", path,
			 (long long)c->args.if_rev);
	else
		snprintf(full, sizeof(full), "%s", path);
	result = ctl_call(c, method, full, body, &a);
	if (result != CTL_DONE)
		return result;
	if (c->args.wait && in_progress(&a))
		return wait_for_change(c, ctl_json_text(a.json, "change"));
	return print_change(c, &a);
}
