/* Control port of the target stand-ins; docs/TESTING.md has the API. */
#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "fleet.h"

static const char *const fault_names[] = {
#define DEF(id, name) name,
	TARGET_FAULTS(DEF)
#undef DEF
};

/*
 * 1 if @t matches "target", "data_centre" and "version" of @body, where given.
 */
static int is_selected(json_t *body, const struct target *t)
{
	const char *id = json_string_value(json_object_get(body, "target"));
	const char *data_centre;
	const char *version;

	data_centre = json_string_value(json_object_get(body, "data_centre"));
	version = json_string_value(json_object_get(body, "version"));
	if (id && strcmp(id, "*") != 0 && strcmp(id, t->spec.id) != 0)
		return 0;
	if (data_centre && strcmp(data_centre, t->spec.data_centre) != 0)
		return 0;
	return !version || strcmp(version, t->spec.version) == 0;
}

static enum err_code switch_kill(struct endpoint *p, int on, struct err *err)
{
	if (on) {
		http_shut(p->listener);
		/*
		 * All connections are closed, so the old requests may be
		 * dropped.
		 */
		target_restart(&p->target, 1);
		return ERR_OK;
	}
	return http_reopen(p->listener, err);
}

static void switch_cold(struct target *t, const struct fault *f)
{
	if (!f->on) {
		t->is_cold = 0;
		return;
	}
	t->spec.cold_slots = f->slots;
	t->spec.cold_factor = f->factor;
	t->spec.cold_requests = f->requests;
	target_renew(t, 1);
}

static enum err_code switch_fault(struct endpoint *p, int id,
				  const struct fault *f, int64_t now_us,
				  struct err *err)
{
	struct target *t = &p->target;

	t->faults[id] = *f;
	switch (id) {
	case TARGET_FAULT_KILL:
		return switch_kill(p, (int)f->on, err);
	case TARGET_FAULT_COLD:
		switch_cold(t, f);
		break;
	case TARGET_FAULT_SILENT:
		if (f->on)
			http_silence_all(p->listener);
		break;
	case TARGET_FAULT_BLACKHOLE:
		http_blackhole(p->listener, (int)f->on);
		break;
	case TARGET_FAULT_LIMIT:
		http_service(p->listener)->connections_max =
			f->on ? f->connections : t->spec.connections;
		break;
	case TARGET_FAULT_HOLD:
		if (!f->on)
			target_release(t, now_us);
		break;
	case TARGET_FAULT_LAG:
		p->sampled_us = 0;
		break;
	default:
		break;
	}
	return ERR_OK;
}

static enum err_code apply_fault(struct fleet *f, json_t *body, uint32_t *count,
				 struct err *err)
{
	int64_t now_us = clock_now_us();
	int id = fault_index(body, fault_names, countof(fault_names), err);
	struct fault fault;
	uint32_t i;

	if (id < 0 || fault_decode(body, now_us, &fault, err) != ERR_OK)
		return err->code;
	for (i = 0; i < f->count; i++) {
		if (!is_selected(body, &f->endpoints[i]->target))
			continue;
		(*count)++;
		if (switch_fault(f->endpoints[i], id, &fault, now_us, err) !=
		    ERR_OK)
			return err->code;
	}
	return ERR_OK;
}

/* Sets "snapshot", "set_version" and "service_us" of the selected targets. */
static enum err_code set_spec(struct fleet *f, json_t *body, uint32_t *count,
			      struct err *err)
{
	const char *snapshot;
	const char *version;
	json_t *service_us;
	uint32_t i;

	snapshot = json_string_value(json_object_get(body, "snapshot"));
	version = json_string_value(json_object_get(body, "set_version"));
	service_us = json_object_get(body, "service_us");
	if (snapshot && snapshot[0] &&
	    !util_name_ok(snapshot, SNAPSHOT_BYTES - 1))
		return err_set(err, ERR_BAD_FIELD, "snapshot is a name");
	if (version && !util_name_ok(version, NAME_BYTES - 1))
		return err_set(err, ERR_BAD_FIELD, "set_version is a name");
	if (service_us && (json_integer_value(service_us) < 1 ||
			   json_integer_value(service_us) > 60 * US_PER_S))
		return err_set(err, ERR_BAD_FIELD, "service_us is 1 to %d",
			       60 * US_PER_S);
	for (i = 0; i < f->count; i++) {
		struct target *t = &f->endpoints[i]->target;

		if (!is_selected(body, t))
			continue;
		(*count)++;
		if (snapshot)
			util_copy_str(t->spec.snapshot,
				      sizeof(t->spec.snapshot), snapshot);
		if (version)
			util_copy_str(t->spec.version, sizeof(t->spec.version),
				      version);
		if (service_us)
			t->spec.service_us =
				(uint32_t)json_integer_value(service_us);
	}
	return ERR_OK;
}

/* Answers a POST to the control port: applies @change to its JSON body. */
static void serve_change(struct fleet *f, struct http_conn *c,
			 const struct http_request *r,
			 enum err_code (*change)(struct fleet *, json_t *,
						 uint32_t *, struct err *))
{
	json_t *body = json_loadb(r->body, r->body_bytes, 0, NULL);
	struct err err = { 0 };
	uint32_t count = 0;

	if (!json_is_object(body))
		err_set(&err, ERR_BAD_JSON, "body is not a JSON object");
	else if (change(f, body, &count, &err) == ERR_OK && count == 0)
		err_set(&err, ERR_NOT_FOUND, "no target selected");
	json_decref(body);
	http_replyf(c, err_http_status(err.code),
		    "{\"code\":%d,\"error\":\"%s\",\"detail\":\"%s\","
		    "\"targets\":%u}",
		    (int)err.code, err_name(err.code), err.detail, count);
}

/*
 * One number of a target; the rows are in the order in which they are printed.
 */
struct stat_row {
	const char *name;
	uint64_t value;
};

#define STAT_ROWS_MAX 32

static uint32_t read_stats(const struct endpoint *p, struct stat_row *rows)
{
	const struct target *t = &p->target;
	const struct http_counters *counters = http_counters(p->listener);
	uint32_t i = 0;

	rows[i++] = (struct stat_row){ "active", t->running.count };
	rows[i++] = (struct stat_row){ "queued", t->queued.count };
#define DEF(field) rows[i++] = (struct stat_row){ #field, t->counters.field };
	TARGET_COUNTERS(DEF)
#undef DEF
	rows[i++] = (struct stat_row){ "connections", counters->open };
	rows[i++] =
		(struct stat_row){ "peak_connections", counters->open_peak };
	rows[i++] = (struct stat_row){ "accepted", counters->accepted };
	rows[i++] =
		(struct stat_row){ "refused_connections", counters->refused };
	return i;
}

static void add_target_stats(struct buf *b, const struct endpoint *p)
{
	struct stat_row rows[STAT_ROWS_MAX];
	const struct target *t = &p->target;
	uint32_t count = read_stats(p, rows);
	uint32_t i;

	buf_addf(b,
		 "{\"id\":\"%s\",\"port\":%u,\"instance\":\"%s\","
		 "\"cold\":%s",
		 t->spec.id, http_port(p->listener), t->instance,
		 t->is_cold ? "true" : "false");
	for (i = 0; i < count; i++)
		buf_addf(b, ",\"%s\":%" PRIu64, rows[i].name, rows[i].value);
	buf_addf(b, "}");
}

static int read_stat(void *ctx, const char *target, const char *field,
		     uint64_t *value)
{
	struct stat_row rows[STAT_ROWS_MAX];
	const struct fleet *f = ctx;
	uint32_t count;
	uint32_t i;

	for (i = 0; i < f->count; i++) {
		if (strcmp(f->endpoints[i]->target.spec.id, target) == 0)
			break;
	}
	if (i == f->count)
		return 0;
	count = read_stats(f->endpoints[i], rows);
	for (i = 0; i < count; i++) {
		if (strcmp(rows[i].name, field) == 0) {
			*value = rows[i].value;
			return 1;
		}
	}
	return 0;
}

static void add_repeated(struct buf *b, GHashTable *once)
{
	const char *separator = "";
	GHashTableIter at;
	gpointer id;
	gpointer count;

	buf_addf(b, "{\"ids\":%u,\"repeated\":{", g_hash_table_size(once));
	g_hash_table_iter_init(&at, once);
	while (g_hash_table_iter_next(&at, &id, &count)) {
		if ((uintptr_t)count < 2)
			continue;
		buf_addf(b, "%s\"%s\":%u", separator, (char *)id,
			 (uint32_t)(uintptr_t)count);
		separator = ",";
	}
	buf_addf(b, "}}");
}

static void serve_stats(struct fleet *f, struct http_conn *c, const char *query)
{
	struct buf b CLEANUP_BUF = { 0 };
	const char *separator = "";
	char id[TARGET_ID_BYTES] = "";
	uint32_t i;

	http_query_value(query, "target", id, sizeof(id));
	buf_addf(&b, "{\"targets\":[");
	for (i = 0; i < f->count; i++) {
		if (id[0] && strcmp(id, f->endpoints[i]->target.spec.id) != 0)
			continue;
		buf_addf(&b, "%s", separator);
		add_target_stats(&b, f->endpoints[i]);
		separator = ",";
	}
	buf_addf(&b, "],\"once\":");
	add_repeated(&b, f->once);
	buf_addf(&b, "}");
	http_reply(c, 200, b.data, b.len_bytes, HTTP_WHOLE);
}

/* Answers how often all targets together ran one non-idempotent request. */
static void serve_once(struct fleet *f, struct http_conn *c, const char *query)
{
	char id[REQUEST_ID_BYTES] = "";

	http_query_value(query, "request_id", id, sizeof(id));
	http_replyf(c, 200, "{\"executions\":%u}",
		    (uint32_t)(uintptr_t)g_hash_table_lookup(f->once, id));
}

static void serve_reset(struct fleet *f, struct http_conn *c)
{
	uint32_t i;

	for (i = 0; i < f->count; i++) {
		memset(&f->endpoints[i]->target.counters, 0,
		       sizeof(struct target_counters));
		http_reset_counters(f->endpoints[i]->listener);
	}
	g_hash_table_remove_all(f->once);
	http_replyf(c, 200, "{}");
}

static void serve(void *ctx, struct http_conn *c, const struct http_request *r)
{
	struct fleet *f = ctx;
	int post = strcmp(r->method, "POST") == 0;

	if (post && strcmp(r->path, "/control") == 0)
		serve_change(f, c, r, apply_fault);
	else if (post && strcmp(r->path, "/control/set") == 0)
		serve_change(f, c, r, set_spec);
	else if (post && strcmp(r->path, "/control/reset") == 0)
		serve_reset(f, c);
	else if (!post && strcmp(r->path, "/control/stats") == 0)
		serve_stats(f, c, r->query);
	else if (!post && strcmp(r->path, "/control/wait") == 0)
		waiters_serve(f->waiters, c, r->query);
	else if (!post && strcmp(r->path, "/control/once") == 0)
		serve_once(f, c, r->query);
	else
		http_replyf(c, 404, "{\"error\":\"no_such_path\"}");
}

static void client_gone(void *ctx, struct http_conn *c)
{
	waiters_gone(((struct fleet *)ctx)->waiters, c);
}

struct http_listener *fleet_control(struct fleet *f, const char *address,
				    uint16_t port, struct err *err)
{
	struct http_service s = { .request = serve,
				  .gone = client_gone,
				  .ctx = f };

	f->waiters = waiters_new(f->http, read_stat, f);
	return http_listen(f->http, address, port, &s, err);
}
