/* Control port of the store stand-in; docs/TESTING.md has the API. */
#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "store.h"

#define LAG_MS_MAX 600000
#define RATE_PER_S_MAX 1000000

static const char *const fault_names[] = {
#define DEF(id, name) name,
	STORE_FAULTS(DEF)
#undef DEF
};

static enum err_code restore(struct store *s, const char *name, int64_t now_us,
			     struct err *err)
{
	struct kvs *saved = g_hash_table_lookup(s->saved, name);

	if (!saved)
		return err_set(err, ERR_NOT_FOUND, "no state saved as %s",
			       name);
	kvs_free(s->kvs);
	s->kvs = kvs_copy(saved);
	s->era++;
	store_expire(s, now_us);
	return ERR_OK;
}

static void switch_stale(struct store *s, int on, int64_t now_us)
{
	kvs_free(s->stale);
	s->stale = on ? kvs_copy(s->kvs) : NULL;
	if (!on)
		store_wake_watches(s, now_us);
}

static enum err_code switch_fault(struct store *s, int id,
				  const struct fault *f, int64_t now_us,
				  struct err *err)
{
	s->faults[id] = *f;
	switch (id) {
	case STORE_FAULT_STALE:
		switch_stale(s, (int)f->on, now_us);
		break;
	case STORE_FAULT_SILENT:
		if (f->on)
			http_silence_all(s->listener);
		break;
	case STORE_FAULT_BLACKHOLE:
		http_blackhole(s->listener, (int)f->on);
		break;
	case STORE_FAULT_KILL:
		if (!f->on)
			return http_reopen(s->listener, err);
		http_shut(s->listener);
		break;
	case STORE_FAULT_SAVE:
		g_hash_table_replace(s->saved, g_strdup(f->value),
				     kvs_copy(s->kvs));
		break;
	case STORE_FAULT_RESTORE:
		return restore(s, f->value, now_us, err);
	case STORE_FAULT_LEASE_JUMP:
		kvs_shift_leases(s->kvs, -(int64_t)f->delay_ms * US_PER_MS);
		store_expire(s, now_us);
		store_wake_watches(s, now_us);
		break;
	default:
		break;
	}
	return ERR_OK;
}

static enum err_code apply_fault(struct store *s, json_t *body, struct err *err)
{
	int64_t now_us = clock_now_us();
	int id = fault_index(body, fault_names, countof(fault_names), err);
	struct fault fault;

	if (id < 0 || fault_decode(body, now_us, &fault, err) != ERR_OK)
		return err->code;
	return switch_fault(s, id, &fault, now_us, err);
}

/* Fills @out with the number @name of @body, 0 to @most; absent: unchanged. */
static enum err_code decode_number(json_t *body, const char *name,
				   uint32_t most, uint32_t *out,
				   struct err *err)
{
	json_t *value = json_object_get(body, name);

	if (!value)
		return ERR_OK;
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) > most)
		return err_set(err, ERR_BAD_FIELD, "%s is 0 to %u", name, most);
	*out = (uint32_t)json_integer_value(value);
	return ERR_OK;
}

static enum err_code set_limits(struct store *s, json_t *body, struct err *err)
{
	uint32_t lag_ms = UINT32_MAX;

	if (decode_number(body, "reads_per_s", RATE_PER_S_MAX,
			  &s->rates[0].per_s, err) != ERR_OK ||
	    decode_number(body, "writes_per_s", RATE_PER_S_MAX,
			  &s->rates[1].per_s, err) != ERR_OK ||
	    decode_number(body, "hosts_lag_ms", LAG_MS_MAX, &lag_ms, err) !=
		    ERR_OK)
		return err->code;
	if (lag_ms != UINT32_MAX)
		store_hosts_lag(s->hosts, lag_ms);
	return ERR_OK;
}

static enum err_code set_hosts(struct store *s, json_t *body, struct err *err)
{
	return store_hosts_set(s->hosts, body, clock_now_us(), err);
}

static enum err_code reset(struct store *s, json_t *body, struct err *err)
{
	memset(&s->counters, 0, sizeof(s->counters));
	s->second_calls = 0;
	http_reset_counters(s->listener);
	return ERR_OK;
}

/* Answers a POST to the control port: applies @change to its JSON body. */
static void
serve_change(struct store *s, struct http_conn *c, const struct http_request *r,
	     enum err_code (*change)(struct store *, json_t *, struct err *))
{
	json_t *body = json_loadb(r->body, r->body_bytes, 0, NULL);
	struct err err = { 0 };

	if (!json_is_object(body))
		err_set(&err, ERR_BAD_JSON, "body is not a JSON object");
	else
		change(s, body, &err);
	json_decref(body);
	http_replyf(c, err_http_status(err.code),
		    "{\"code\":%d,\"error\":\"%s\",\"detail\":\"%s\"}",
		    (int)err.code, err_name(err.code), err.detail);
}

/*
 * One number of the store; the rows are in the order in which they are printed.
 */
struct stat_row {
	const char *name;
	uint64_t value;
};

#define STAT_ROWS_MAX 32

static uint32_t read_stats(const struct store *s, struct stat_row *rows)
{
	const struct http_counters *counters = http_counters(s->listener);
	uint32_t i = 0;
	uint32_t op;

	rows[i++] = (struct stat_row){ "revision", s->kvs->revision };
	rows[i++] = (struct stat_row){ "watches", s->watches };
	for (op = 0; op < STORE_OP_COUNT; op++)
		rows[i++] = (struct stat_row){ store_op_name(op),
					       s->counters.calls[op] };
#define DEF(field) rows[i++] = (struct stat_row){ #field, s->counters.field };
	STORE_COUNTERS(DEF)
#undef DEF
	rows[i++] = (struct stat_row){ "connections", counters->open };
	rows[i++] =
		(struct stat_row){ "peak_connections", counters->open_peak };
	return i;
}

static int read_stat(void *ctx, const char *target, const char *field,
		     uint64_t *value)
{
	struct stat_row rows[STAT_ROWS_MAX];
	uint32_t count = read_stats(ctx, rows);
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(rows[i].name, field) == 0) {
			*value = rows[i].value;
			return 1;
		}
	}
	return 0;
}

static void serve_stats(struct store *s, struct http_conn *c)
{
	struct stat_row rows[STAT_ROWS_MAX];
	struct buf b CLEANUP_BUF = { 0 };
	uint32_t count = read_stats(s, rows);
	uint32_t i;

	for (i = 0; i < count; i++)
		buf_addf(&b, "%s\"%s\":%" PRIu64, i ? "," : "{", rows[i].name,
			 rows[i].value);
	buf_addf(&b, "}");
	http_reply(c, 200, b.data, b.len_bytes, HTTP_WHOLE);
}

static void serve(void *ctx, struct http_conn *c, const struct http_request *r)
{
	struct store *s = ctx;
	int post = strcmp(r->method, "POST") == 0;

	if (post && strcmp(r->path, "/control") == 0)
		serve_change(s, c, r, apply_fault);
	else if (post && strcmp(r->path, "/control/set") == 0)
		serve_change(s, c, r, set_limits);
	else if (post && strcmp(r->path, "/control/hosts") == 0)
		serve_change(s, c, r, set_hosts);
	else if (post && strcmp(r->path, "/control/reset") == 0)
		serve_change(s, c, r, reset);
	else if (!post && strcmp(r->path, "/control/stats") == 0)
		serve_stats(s, c);
	else if (!post && strcmp(r->path, "/control/wait") == 0)
		waiters_serve(s->waiters, c, r->query);
	else
		http_replyf(c, 404, "{\"error\":\"no_such_path\"}");
}

static void client_gone(void *ctx, struct http_conn *c)
{
	waiters_gone(((struct store *)ctx)->waiters, c);
}

struct http_listener *store_control(struct store *s, const char *address,
				    uint16_t port, struct err *err)
{
	struct http_service service = { .request = serve,
					.gone = client_gone,
					.ctx = s };

	s->waiters = waiters_new(s->http, read_stat, s);
	return http_listen(s->http, address, port, &service, err);
}
