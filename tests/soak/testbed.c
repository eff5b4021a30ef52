#include "testbed.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/clock.h"
#include "caller.h"
#include "client.h"
#include "store_client.h"

#define START_MS 5000
#define STORE_CALL_TIMEOUT_MS 1500
#define CALLER_PORT 18226
#define READY_PORT 18227
#define PEER_PORT 18224
/*
 * Hosts that state a fast link, and the links that all state: the others have
 * these hosts gather for them.
 */
#define GATHERERS 2
#define GATHERER_LINK_MBPS 1000
#define HOST_LINK_MBPS 1
/* Time in which a started host must become ready. */
#define READY_WAIT_US (10 * (int64_t)US_PER_S)
#define POLL_US (20 * US_PER_MS)

static const char *const data_centres[TESTBED_DATA_CENTRES] = { "a", "b", "c" };
static const uint32_t host_data_centre[TESTBED_HOSTS] = { 0, 0, 1, 1, 2 };

void testbed_store_fault(struct testbed *tb, const char *json)
{
	struct client_answer a;

	client_call(&a, "POST", tb->store_admin_port, "/control", json,
		    STORE_CALL_TIMEOUT_MS);
	client_clear(&a);
}

/*
 * Goes to the store directly and not through a proxy: it works also while hosts
 * cannot reach the store.
 */
int testbed_put(struct testbed *tb, const char *key, const char *value)
{
	int ok = store_client_put(tb->store_port, key, value,
				  STORE_CALL_TIMEOUT_MS);

	/* One that was not acknowledged may have taken effect, too. */
	g_hash_table_replace(tb->written, g_strdup(key), g_strdup(value));
	return ok;
}

void testbed_put_again(struct testbed *tb)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, tb->written);
	while (g_hash_table_iter_next(&it, &key, &value))
		store_client_put(tb->store_port, key, value,
				 STORE_CALL_TIMEOUT_MS);
}

char *testbed_get(struct testbed *tb, const char *key)
{
	g_autofree char *path = g_strdup_printf("/api/kv-key?key=%s", key);
	struct client_answer a;
	char *value = NULL;
	gsize len = 0;
	guchar *raw;

	client_call(&a, "GET", tb->store_port, path, NULL,
		    STORE_CALL_TIMEOUT_MS);
	if (a.status == 200) {
		raw = g_base64_decode(client_text(&a, "value"), &len);
		value = strndup((const char *)raw, len);
		g_free(raw);
	}
	client_clear(&a);
	return value;
}

static void entry_key(const struct target_entry *s, char out[2 * NAME_BYTES])
{
	char id[NAME_BYTES];

	targets_entry_id(s, id);
	snprintf(out, 2 * NAME_BYTES, "servers/%s", id);
}

int testbed_announce(struct testbed *tb, struct target_entry *s,
		     const char *phase)
{
	char key[2 * NAME_BYTES];
	g_autofree char *value =
		g_strdup_printf("{\"service\":\"%s\",\"address\":\"127.0.0.1:%"
				"u\",\"zone\":"
				"\"%s\",\"version\":\"%s\",\"capacity\":4,"
				"\"phase\":\"%s\","
				"\"warmupLeftMs\":0,\"seq\":1,\"born\":%u}",
				s->service, proxy_port(s->link), s->data_centre,
				s->version, phase, s->instance + 1);

	entry_key(s, key);
	return testbed_put(tb, key, value);
}

int testbed_withdraw(struct testbed *tb, struct target_entry *s)
{
	char key[2 * NAME_BYTES];

	entry_key(s, key);
	return testbed_put(tb, key, NULL);
}

void testbed_move_service(uint32_t version, char out[NAME_BYTES])
{
	snprintf(out, NAME_BYTES, "move%u", version % TESTBED_MOVES);
}

static void add_service(json_t *services, const char *name)
{
	json_array_append_new(services,
			      json_pack("{s:s,s:s,s:i,s:s,s:b,s:f,s:f}", "name",
					name, "healthPath", "/healthz",
					"maxConns", 40, "protocol", "h1", "tls",
					0, "warmupS", 0.0, "warmupPerS", 0.0));
}

static json_t *route(const char *name, const char *type)
{
	g_autofree char *prefix = g_strdup_printf("/%s/", name);

	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}", "name", name,
			 "host", "soak.example", "prefix", prefix, "type", type,
			 "timeoutMs", 1000, "goalMs", 200, "priority", 1,
			 "attempts", 2);
}

static json_t *gather_route(json_t *services)
{
	json_t *r = route("all", "idempotent");
	json_t *list = json_array();
	char name[NAME_BYTES];
	uint32_t i;

	for (i = 0; i < TESTBED_SHARDS; i++) {
		snprintf(name, sizeof(name), "shard%u", i);
		add_service(services, name);
		json_array_append_new(list, json_string(name));
	}
	json_object_set_new(r, "gather", list);
	json_object_set_new(r, "topK", json_integer(10));
	json_object_set_new(r, "minRequired", json_real(0.5));
	return r;
}

static json_t *service_route(const char *name, const char *type,
			     const char *service)
{
	json_t *r = route(name, type);

	json_object_set_new(r, "service", json_string(service));
	return r;
}

int testbed_configure(struct testbed *tb)
{
	uint32_t version = tb->version + 1;
	json_t *services = json_array();
	json_t *routes = json_array();
	json_t *doc;
	char name[NAME_BYTES];
	char *text;
	uint32_t i;
	int ok;

	if (version >= TESTBED_VERSIONS_MAX)
		return 0;
	json_array_append_new(routes, gather_route(services));
	add_service(services, "one");
	for (i = 0; i < TESTBED_MOVES; i++) {
		testbed_move_service(i, name);
		add_service(services, name);
	}
	testbed_move_service(version, name);
	json_array_append_new(routes,
			      service_route("one", "idempotent", "one"));
	json_array_append_new(routes,
			      service_route("once", "non_idempotent", "one"));
	json_array_append_new(routes,
			      service_route("move", "idempotent", name));
	doc = json_pack("{s:i,s:o,s:o,s:{s:i,s:i,s:i,s:i}}", "version",
			(int)version, "routes", routes, "services", services,
			"limits", "maxHeaderBytes", 16384, "maxBodyBytes",
			262144, "headerTimeoutMs", 3000, "idleTimeoutMs",
			15000);
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	/* Set before the write: a host may use it before the store's answer. */
	tb->acked_us[version] = INT64_MAX;
	tb->version = version;
	ok = testbed_put(tb, "op/config", text);
	if (ok) {
		tb->acked_us[version] = clock_now_us();
		tb->acked_version = version;
	}
	free(text);
	return ok;
}

int testbed_host_is_settled(const struct testbed *tb, uint32_t host,
			    int64_t at_us)
{
	return at_us - TESTBED_SETTLE_US > tb->hosts[host].fault_end_us &&
	       at_us - TESTBED_SETTLE_US > tb->store_fault_end_us;
}

int testbed_is_settled(const struct testbed *tb, int64_t at_us)
{
	uint32_t i;

	for (i = 0; i < TESTBED_HOSTS; i++) {
		if (!testbed_host_is_settled(tb, i, at_us))
			return 0;
	}
	return 1;
}

static void write_settings(struct testbed *tb, struct testbed_host *h,
			   uint32_t number)
{
	struct buf out CLEANUP_BUF = { 0 };
	uint32_t i;

	buf_addf(&out,
		 "{\"host\":\"h%u\",\"data_centre\":\"%s\","
		 "\"caller_address\":\"%s:%u\",\"ready_address\":\"%s:%u\","
		 "\"peer_address\":\"%s:%u\",\"store_address\":\"127.0.0.1:%"
		 "u\","
		 "\"seeds\":[",
		 number, h->data_centre, h->address, CALLER_PORT, h->address,
		 READY_PORT, h->address, PEER_PORT, proxy_port(h->store_link));
	for (i = 0; i < 3; i++)
		buf_addf(&out, "%s\"%s:%u\"", i ? "," : "",
			 tb->hosts[i].address, PEER_PORT);
	buf_addf(&out,
		 "],\"store_reads_per_s\":2000,\"store_writes_per_s\":400,"
		 "\"descriptors\":1000,\"core_share\":1,\"link_mbps\":%u,"
		 "\"grace_s\":%u,"
		 "\"config_apply_ms\":%u,\"drain_ms\":%u,\"retry_ratio\":%g,"
		 "\"retry_slack\":%u,\"canary_share\":%g}\n",
		 h < tb->hosts + GATHERERS ? GATHERER_LINK_MBPS
					   : HOST_LINK_MBPS,
		 TESTBED_GRACE_S, TESTBED_APPLY_MS, TESTBED_DRAIN_MS,
		 (double)TESTBED_RETRY_PERMILLE / PERMILLE, TESTBED_RETRY_SLACK,
		 (double)TESTBED_EXPOSURE_PERMILLE / PERMILLE);
	g_file_set_contents(h->settings_path, out.data, -1, NULL);
}

/* A host prints only log lines, so this polls its readiness page. */
static int wait_ready(const struct testbed_host *h)
{
	int64_t until_us = clock_now_us() + READY_WAIT_US;
	struct caller c;
	int is_ready = 0;

	caller_init(&c);
	while (!is_ready && clock_now_us() < until_us) {
		is_ready = caller_exchange(&c, h->address, READY_PORT,
					   "GET /api/readyz HTTP/1.1\r\n"
					   "Host: x\r\n\r\n",
					   STORE_CALL_TIMEOUT_MS) ==
				   CALLER_OK &&
			   http1_status(&c.answer) == 200;
		if (!is_ready)
			g_usleep(POLL_US);
	}
	caller_clear(&c);
	return is_ready;
}

static int64_t log_bytes(const struct testbed_host *h)
{
	struct stat st;

	return stat(h->log_path, &st) == 0 ? (int64_t)st.st_size : 0;
}

int testbed_host_has_logged(const struct testbed_host *h)
{
	return log_bytes(h) > h->log_start_bytes;
}

int testbed_host_start(struct testbed *tb, uint32_t host)
{
	struct testbed_host *h = &tb->hosts[host];
	int is_older = tb->older_program[0] && host % 2 && !h->incarnation;
	const char *argv[] = { is_older ? tb->older_program : tb->host_program,
			       "gateway", "--settings", h->settings_path,
			       NULL };

	h->log_start_bytes = log_bytes(h);
	if (proc_spawn(&h->proc, argv, h->log_path) != 0)
		return 0;
	h->incarnation++;
	h->started_us = clock_now_us();
	h->is_leaving = 0;
	h->is_running = 1;
	return 1;
}

static int start_store(struct testbed *tb, struct err *err)
{
	const char *argv[] = { "build/standin", "store", "--admin-port", "0",
			       NULL };

	if (proc_start(&tb->store, argv, NULL, START_MS) != 0) {
		err_set(err, ERR_IO, "cannot start the store stand-in");
		return 0;
	}
	tb->store_port = (uint16_t)proc_number(&tb->store, "ready");
	tb->store_admin_port = (uint16_t)proc_number(&tb->store, "admin");
	return 1;
}

static int add_targets(struct testbed *tb, const char *service, uint32_t each,
		       const char *version, struct err *err)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < TESTBED_DATA_CENTRES; i++) {
		for (k = 0; k < each; k++) {
			struct target_entry *s =
				targets_add(tb->targets, service,
					    data_centres[i], version, err);

			if (!s)
				return 0;
			s->instance = k * 1000;
			tb->target_list[tb->target_count++] = s;
		}
	}
	return 1;
}

/* Announces all targets but those of version v2, which a rollout announces. */
static int start_targets(struct testbed *tb, struct err *err)
{
	char name[NAME_BYTES];
	uint32_t i;
	int ok = 1;

	tb->targets = targets_new(tb->ledger, tb->proxy, tb->seed, err);
	if (!tb->targets)
		return 0;
	for (i = 0; ok && i < TESTBED_SHARDS; i++) {
		snprintf(name, sizeof(name), "shard%u", i);
		ok = add_targets(tb, name, 1, "v1", err);
	}
	for (i = 0; ok && i < TESTBED_MOVES; i++) {
		testbed_move_service(i, name);
		ok = add_targets(tb, name, 1, "v1", err);
	}
	ok = ok && add_targets(tb, "one", 2, "v1", err) &&
	     add_targets(tb, "one", 1, "v2", err);
	if (!ok)
		return 0;
	targets_start(tb->targets);
	for (i = 0; i < tb->target_count; i++) {
		if (strcmp(tb->target_list[i]->version, "v1") == 0 &&
		    !testbed_announce(tb, tb->target_list[i], "ready"))
			return 0;
	}
	return 1;
}

static int start_hosts(struct testbed *tb, struct err *err)
{
	uint32_t i;

	/*
	 * Addresses follow from the process ID: several soaks may run at once.
	 */
	for (i = 0; i < TESTBED_HOSTS; i++) {
		struct testbed_host *h = &tb->hosts[i];

		snprintf(h->address, sizeof(h->address), "127.%u.%u.%u",
			 10 + getpid() % 200, getpid() / 200 % 250, i + 1);
		util_copy_str(h->data_centre, sizeof(h->data_centre),
			      data_centres[host_data_centre[i]]);
		snprintf(h->settings_path, sizeof(h->settings_path),
			 "%s/h%u.json", tb->dir, i);
		snprintf(h->log_path, sizeof(h->log_path), "%s/h%u.log",
			 tb->dir, i);
		h->store_link = proxy_add(tb->proxy, "127.0.0.1", 0,
					  tb->store_port, err);
		if (!h->store_link)
			return 0;
	}
	for (i = 0; i < TESTBED_HOSTS; i++) {
		write_settings(tb, &tb->hosts[i], i);
		if (!testbed_host_start(tb, i))
			return 0;
	}
	for (i = 0; i < TESTBED_HOSTS; i++) {
		if (!wait_ready(&tb->hosts[i])) {
			err_set(err, ERR_IO, "host %u is not ready, see %s", i,
				tb->hosts[i].log_path);
			return 0;
		}
	}
	return 1;
}

int testbed_start(struct testbed *tb, const char *argv0, const char *older,
		  struct ledger *l, uint64_t seed, struct err *err)
{
	memset(tb, 0, sizeof(*tb));
	proc_sibling(argv0, "cowslippoint", tb->host_program,
		     sizeof(tb->host_program));
	tb->older_program = older;
	tb->ledger = l;
	tb->seed = seed;
	tb->caller_port = CALLER_PORT;
	tb->written =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	snprintf(tb->dir, sizeof(tb->dir), "build/soak/%llu-%d",
		 (unsigned long long)seed, (int)getpid());
	g_mkdir_with_parents(tb->dir, 0755);
	tb->proxy = proxy_new(err);
	if (start_store(tb, err) && start_targets(tb, err) &&
	    testbed_configure(tb) && start_hosts(tb, err))
		return 1;
	testbed_stop(tb);
	return 0;
}

void testbed_stop(struct testbed *tb)
{
	uint32_t i;

	for (i = 0; i < TESTBED_HOSTS; i++) {
		proc_signal(&tb->hosts[i].proc, SIGCONT);
		proc_kill(&tb->hosts[i].proc);
	}
	targets_free(tb->targets);
	proxy_free(tb->proxy);
	proc_kill(&tb->store);
	g_hash_table_destroy(tb->written);
}

uint32_t testbed_starts(const struct testbed *tb)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < TESTBED_HOSTS; i++)
		sum += tb->hosts[i].incarnation;
	return sum;
}
