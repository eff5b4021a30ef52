#include "cluster.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/util.h"

/*
 * Range of target ports: below the ephemeral ports, which the kernel gives to
 * others.
 */
#define TARGET_PORT_LOW 12000
#define TARGET_PORT_HIGH 30000
#define PORT_TRIES 50

static char host_program[256] = "build/cowslippoint";

void cluster_init(const char *argv0)
{
	proc_sibling(argv0, "cowslippoint", host_program, sizeof(host_program));
}

void cluster_start_store(struct cluster *c)
{
	const char *argv[] = { "build/standin", "store", "--admin-port", "0",
			       NULL };

	if (proc_start(&c->store, argv, NULL, CLUSTER_TIMEOUT_MS) != 0)
		g_error("cannot start the store stand-in");
}

void cluster_start_targets(struct cluster *c, uint32_t shards,
			   uint32_t replicas)
{
	g_autofree char *count = g_strdup_printf("%u", shards * replicas);
	const char *argv[] = { "build/standin", "target", "--count",	count,
			       "--admin-port",	"0",	  "--slots",	"4",
			       "--service-us",	"1000",	  "--instance", "x",
			       "--port",	NULL,	  NULL };
	char port[8];
	uint32_t i;

	c->shards = shards;
	c->replicas = replicas;
	for (i = 0; i < PORT_TRIES; i++) {
		c->first_target_port = (uint16_t)g_random_int_range(
			TARGET_PORT_LOW, TARGET_PORT_HIGH);
		snprintf(port, sizeof(port), "%u", c->first_target_port);
		argv[countof(argv) - 2] = port;
		if (proc_start(&c->targets, argv, "build/standin.log",
			       CLUSTER_TIMEOUT_MS) == 0)
			return;
	}
	g_error("cannot start the target stand-ins");
}

/*
 * "ADDRESS:PORT,..." of the other hosts that were started before, for --peers.
 */
static char *known_peers(const struct cluster *c, uint32_t self)
{
	GString *list = g_string_new("");
	uint32_t i;

	for (i = 0; i < c->host_count; i++) {
		if (i != self && c->peer_ports[i])
			g_string_append_printf(list, "%s127.0.0.1:%u",
					       list->len ? "," : "",
					       c->peer_ports[i]);
	}
	return g_string_free(list, FALSE);
}

void cluster_start_host(struct cluster *c, uint32_t i)
{
	g_autofree char *id = g_strdup_printf("h%u", i + 1);
	g_autofree char *log = g_strdup_printf("build/test-%s.log", id);
	g_autofree char *store =
		g_strdup_printf("%u", proc_number(&c->store, "ready"));
	g_autofree char *peer = g_strdup_printf("%u", c->peer_ports[i]);
	g_autofree char *peers = known_peers(c, i);
	g_autofree char *dc = g_strdup_printf("%c", 'a' + (char)(i % 3));
	const char *argv[] = { host_program,
			       "serve",
			       "--host",
			       id,
			       "--data-centre",
			       dc,
			       "--caller-port",
			       "0",
			       "--admin-port",
			       "0",
			       "--peer-port",
			       peer,
			       "--store-port",
			       store,
			       "--drain-ms",
			       "200",
			       peers[0] ? "--peers" : NULL,
			       peers,
			       NULL };

	if (proc_start(&c->hosts[i], argv, log, CLUSTER_TIMEOUT_MS) != 0)
		g_error("cannot start %s, see %s", id, log);
	c->peer_ports[i] = (uint16_t)proc_number(&c->hosts[i], "peer");
	c->host_count = util_max_u32(c->host_count, i + 1);
}

void cluster_list_hosts(struct cluster *c)
{
	GString *body = g_string_new("{\"hosts\":[");
	struct client_answer a;
	uint32_t i;

	for (i = 0; i < c->host_count; i++)
		g_string_append_printf(body,
				       "%s{\"id\":\"h%u\",\"address\":\"127.0."
				       "0.1\","
				       "\"port\":%u,\"data_centre\":\"%c\","
				       "\"role\":\"entry\",\"state\":\"live\"}",
				       i ? "," : "", i + 1, c->peer_ports[i],
				       'a' + (char)(i % 3));
	g_string_append(body, "]}");
	client_call(&a, "POST", cluster_store_control(c), "/control/hosts",
		    body->str, CLUSTER_TIMEOUT_MS);
	g_assert_cmpuint(a.status, ==, 200);
	client_clear(&a);
	g_string_free(body, TRUE);
}

void cluster_stop(struct cluster *c)
{
	uint32_t i;

	for (i = 0; i < c->host_count; i++) {
		/* A paused host takes the signal only when it goes on. */
		proc_signal(&c->hosts[i], SIGCONT);
		proc_kill(&c->hosts[i]);
	}
	proc_stop(&c->targets);
	proc_stop(&c->store);
}

uint16_t cluster_caller_port(const struct cluster *c, uint32_t host)
{
	return (uint16_t)proc_number(&c->hosts[host], "caller");
}

uint16_t cluster_admin_port(const struct cluster *c, uint32_t host)
{
	return (uint16_t)proc_number(&c->hosts[host], "admin");
}

uint16_t cluster_store_control(const struct cluster *c)
{
	return (uint16_t)proc_number(&c->store, "admin");
}

uint16_t cluster_target_control(const struct cluster *c)
{
	return (uint16_t)proc_number(&c->targets, "admin");
}

static void add_target(json_t *targets, const struct cluster *c, uint32_t i)
{
	char id[16];
	char dc[2] = { (char)('a' + i % c->replicas % 3), '\0' };

	snprintf(id, sizeof(id), "t%u", i + 1);
	json_array_append_new(targets,
			      json_pack("{s:s,s:s,s:i,s:s,s:s,s:i,s:i,s:i,s:i}",
					"id", id, "address", "127.0.0.1",
					"port", (int)(c->first_target_port + i),
					"data_centre", dc, "version", "v1",
					"slots", 4, "connections", 100,
					"cold_slots", 4, "connect_us", 1000));
}

static void add_shard(json_t *shards, const struct cluster *c, uint32_t i)
{
	json_t *ids = json_array();
	char name[16];
	uint32_t j;

	for (j = 0; j < c->replicas; j++) {
		snprintf(name, sizeof(name), "t%u", i * c->replicas + j + 1);
		json_array_append_new(ids, json_string(name));
	}
	snprintf(name, sizeof(name), "p%u", i);
	json_array_append_new(shards, json_pack("{s:s,s:o}", "name", name,
						"targets", ids));
}

char *cluster_layout(const struct cluster *c, const char *snapshot)
{
	json_t *targets = json_array();
	json_t *shards = json_array();
	json_t *doc;
	char *text;
	uint32_t i;

	for (i = 0; i < c->shards * c->replicas; i++)
		add_target(targets, c, i);
	for (i = 0; i < c->shards; i++)
		add_shard(shards, c, i);
	doc = json_pack("{s:s,s:s,s:s,s:o,s:o}", "index", "parts", "service",
			"parts", "snapshot", snapshot, "targets", targets,
			"shards", shards);
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

char *cluster_contract(uint32_t answer_ms, uint32_t min_coverage_permille)
{
	return g_strdup_printf("{\"customer\":\"acme\",\"indexes\":[\"parts\"],"
			       "\"answer_ms\":%u,\"min_coverage_permille\":%u,"
			       "\"rate_per_s\":10000,"
			       "\"target_share_permille\":1000,"
			       "\"extra_load_permille\":100}",
			       answer_ms, min_coverage_permille);
}
