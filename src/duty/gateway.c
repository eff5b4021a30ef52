#include "duty/gateway.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/opt.h"
#include "codec/gw_settings.h"
#include "duty/egress.h"
#include "duty/gw_control.h"
#include "duty/gw_duty.h"
#include "duty/ingress.h"
#include "duty/logger_duty.h"
#include "duty/messages.h"
#include "duty/relay.h"
#include "duty/store.h"

/* Metrics page, next to the host's other addresses. */
#define METRICS_PORT 9464
/* Descriptors kept for files, the store and connections to targets. */
#define DESCRIPTORS_RESERVED 1200
/* Hosts that share the limits until the store tells how many there are. */
#define HOSTS_ASSUMED 12
/*
 * On SIGTERM the load balancer needs two readiness checks, one a second, to
 * send new connections elsewhere; until then they are served.
 */
#define LEAVE_MS 3500
/* Kept from the grace time for stopping the threads. */
#define STOP_MS 400
#define FINISH_POLL_MS 20
/* The settings file is looked at this often. */
#define SETTINGS_PERIOD_S 2

#define GATEWAY_OPTIONS(DEF)                                        \
	DEF(GSET_FILE, "settings", "COWSLIPPOINT_CONFIG", OPT_TEXT, \
	    "/etc/cowslippoint/node.yaml", 0, 0,                    \
	    "path of the settings "                                 \
	    "file (JSON)")

enum gateway_option {
#define DEF(id, flag, env, kind, fallback, lowest, highest, help) id,
	GATEWAY_OPTIONS(DEF)
#undef DEF
		GATEWAY_OPTION_COUNT
};

static const struct opt_def option_defs[GATEWAY_OPTION_COUNT] = {
#define DEF(id, flag, env, kind, fallback, lowest, highest, help) \
	{ flag, env, kind, fallback, lowest, highest, help },
	GATEWAY_OPTIONS(DEF)
#undef DEF
};

struct gateway {
	const char *settings_path;
	struct gw_settings set;
	struct logger_duty *logger;
	struct store *store;
	struct egress *egress;
	struct gw_duty *request;
	struct ingress *ingress;
	struct gw_control *control;
	/* NULL when no host follows another. */
	struct relay *relay;
};

static void on_limits(void *ctx, const struct caller_limits *l)
{
	struct gateway *g = ctx;

	ingress_set_limits(g->ingress, l);
}

static void on_hosts(void *ctx, uint32_t hosts)
{
	struct gateway *g = ctx;

	store_set_host_count(g->store, hosts);
}

static struct ingress_endpoint listen_at(const struct gw_endpoint *e)
{
	struct ingress_endpoint at = { .port = e->port };

	util_copy_str(at.address, sizeof(at.address), e->address);
	return at;
}

static void create_ingress(struct gateway *g, struct err *err)
{
	struct ingress_options o = {
		.caller = listen_at(&g->set.caller_endpoint),
		.ready = listen_at(&g->set.ready_endpoint),
		.metrics = listen_at(&g->set.ready_endpoint),
		.requests = gw_duty_ring(g->request),
		.is_ready = gw_duty_is_ready,
		.ready_ctx = g->request,
	};

	o.metrics.port = METRICS_PORT;
	o.connections_max = g->set.descriptors > 2 * DESCRIPTORS_RESERVED
				    ? g->set.descriptors - DESCRIPTORS_RESERVED
				    : g->set.descriptors / 2;
	g->ingress = ingress_new(&o, err);
}

static void create_store(struct gateway *g, uint64_t seed, struct err *err)
{
	struct store_options o = { .port = g->set.store_endpoint.port,
				   .reads_per_s = g->set.store_reads_per_s,
				   .writes_per_s = g->set.store_writes_per_s,
				   .rng_seed = seed };

	util_copy_str(o.address, sizeof(o.address),
		      g->set.store_endpoint.address);
	g->store = store_new(&o, err);
	if (g->store)
		store_set_host_count(g->store, HOSTS_ASSUMED);
}

static void create_control(struct gateway *g, struct err *err)
{
	const struct gw_settings *set = &g->set;
	struct gw_control_options o = {
		.hosts_assumed = HOSTS_ASSUMED,
		.apply_ms = util_min_u32(set->config_apply_ms, set->drain_ms),
		.exposure_permille = set->exposure_permille,
		.store = store_ring(g->store),
		.relay = g->relay ? relay_ring(g->relay) : NULL,
		.views = gw_duty_ring(g->request),
		.limits_changed = on_limits,
		.host_count_changed = on_hosts,
		.notify_ctx = g,
		.seed_count = set->seed_count,
	};
	uint32_t i;

	util_copy_str(o.self.name, sizeof(o.self.name), set->host);
	util_copy_str(o.self.data_centre, sizeof(o.self.data_centre),
		      set->data_centre);
	util_copy_str(o.self.address, sizeof(o.self.address),
		      set->peer_endpoint.address);
	o.self.port = set->peer_endpoint.port;
	o.self.core_permille = set->core_permille;
	for (i = 0; i < set->seed_count; i++) {
		util_copy_str(o.seeds[i].address, sizeof(o.seeds[i].address),
			      set->seeds[i].address);
		o.seeds[i].port = set->seeds[i].port;
	}
	g->control = gw_control_new(&o, err);
}

static struct gw_tuning tuning_of(const struct gw_settings *set)
{
	return (struct gw_tuning){ .retry_permille = set->retry_permille,
				   .retry_slack = set->retry_slack,
				   .core_permille = set->core_permille };
}

static enum err_code create(struct gateway *g, struct err *err)
{
	struct gw_options o = { .started_us = clock_now_us(),
				.tuning = tuning_of(&g->set),
				.seed = (uint64_t)clock_wall_us() };

	util_copy_str(o.data_centre, sizeof(o.data_centre), g->set.data_centre);
	g->logger = logger_duty_new(stdout, err);
	if (g->logger)
		create_store(g, o.seed, err);
	if (g->store)
		g->egress = egress_new(err);
	if (g->egress)
		g->request = gw_duty_new(&o, err);
	if (g->request)
		create_ingress(g, err);
	if (g->ingress && g->set.peer_endpoint.port)
		g->relay = relay_new(g->set.peer_endpoint.address,
				     g->set.peer_endpoint.port, err);
	if (g->ingress && err->code == ERR_OK)
		create_control(g, err);
	return g->control ? ERR_OK : err->code;
}

static enum err_code start(struct gateway *g, struct err *err)
{
	if (store_start(g->store, err) != ERR_OK ||
	    egress_start(g->egress, gw_duty_ring(g->request), err) != ERR_OK ||
	    gw_duty_start(g->request, ingress_ring(g->ingress),
			  egress_ring(g->egress), gw_control_ring(g->control),
			  err) != ERR_OK ||
	    (g->relay && relay_start(g->relay, gw_control_ring(g->control),
				     err) != ERR_OK) ||
	    gw_control_start(g->control, err) != ERR_OK)
		return err->code;
	return ingress_start(g->ingress, err);
}

/* Waits up to @wait_ms; returns 1 when another signal came. */
static int wait_signal(const sigset_t *signals, int64_t wait_ms)
{
	struct timespec ts = { .tv_sec = wait_ms / MS_PER_S,
			       .tv_nsec = wait_ms % MS_PER_S * 1000000 };

	return sigtimedwait(signals, NULL, &ts) > 0;
}

/*
 * Graceful shutdown: readiness goes first, connections that are still opened
 * are served and end after their answer, then idle ones are closed.
 */
static void leave(struct gateway *g, const sigset_t *signals)
{
	int64_t until_us = clock_now_us() +
			   ((int64_t)g->set.grace_ms - STOP_MS) * US_PER_MS;
	struct msg m = { MSG_LEAVE, NULL, NULL };

	log_event(LOG_LEVEL_INFO, "leaving", "draining for %d ms", LEAVE_MS);
	ingress_drain(g->ingress);
	wait_signal(signals, util_min_i64(LEAVE_MS, g->set.grace_ms / 2));
	if (ring_push(ingress_ring(g->ingress), &m) != ERR_OK)
		log_event(LOG_LEVEL_WARNING, "ring_full",
			  "idle caller connections stay open");
	while (!ingress_is_finished(g->ingress) && clock_now_us() < until_us)
		wait_signal(signals, FINISH_POLL_MS);
	log_event(LOG_LEVEL_INFO, "stopped", "%u requests unfinished",
		  ingress_caller_count(g->ingress));
}

static void stop(struct gateway *g)
{
	ingress_stop(g->ingress);
	gw_control_stop(g->control);
	if (g->relay)
		relay_stop(g->relay);
	egress_stop(g->egress);
	gw_duty_stop(g->request);
	store_stop(g->store);
	store_join(g->store);
}

static void gateway_free(struct gateway *g)
{
	gw_control_free(g->control);
	relay_free(g->relay);
	ingress_free(g->ingress);
	egress_free(g->egress);
	gw_duty_free(g->request);
	store_free(g->store);
	logger_duty_free(g->logger);
	free(g);
}

/* 1 if @b differs from @a in what a running process cannot change. */
static int needs_restart(const struct gw_settings *a,
			 const struct gw_settings *b)
{
	return strcmp(a->host, b->host) != 0 ||
	       strcmp(a->data_centre, b->data_centre) != 0 ||
	       memcmp(&a->caller_endpoint, &b->caller_endpoint,
		      sizeof(a->caller_endpoint)) != 0 ||
	       memcmp(&a->ready_endpoint, &b->ready_endpoint,
		      sizeof(a->ready_endpoint)) != 0 ||
	       memcmp(&a->store_endpoint, &b->store_endpoint,
		      sizeof(a->store_endpoint)) != 0 ||
	       memcmp(&a->peer_endpoint, &b->peer_endpoint,
		      sizeof(a->peer_endpoint)) != 0 ||
	       a->descriptors != b->descriptors;
}

static void apply(struct gateway *g, const struct gw_settings *set)
{
	struct gw_tuning *t = util_alloc(1, sizeof(*t));
	struct msg m = { MSG_GW_TUNING, t, free };

	*t = tuning_of(set);
	g->set.retry_permille = set->retry_permille;
	g->set.retry_slack = set->retry_slack;
	g->set.core_permille = set->core_permille;
	g->set.grace_ms = set->grace_ms;
	if (ring_push(gw_duty_ring(g->request), &m) != ERR_OK) {
		log_event(LOG_LEVEL_ERROR, "ring_full",
			  "changed settings dropped");
		free(t);
	}
}

/* Reads the settings file anew; a bad one leaves the present settings. */
static void reload(struct gateway *g, const char *cause)
{
	struct gw_settings set;
	struct err err = { 0 };

	if (gw_settings_load(g->settings_path, &set, &err) != ERR_OK) {
		log_event(LOG_LEVEL_ERROR, "settings_refused",
			  "%s: %d %s: %s; the present settings stay", cause,
			  (int)err.code, err_name(err.code), err.detail);
		return;
	}
	apply(g, &set);
	log_event(LOG_LEVEL_INFO, "settings_checked",
		  "%s: limits and times are in effect%s", cause,
		  needs_restart(&g->set, &set) ? "; names, addresses and "
						 "descriptors from the next "
						 "start"
					       : "");
}

/* Changes of the file as its status shows them. */
struct file_stamp {
	struct timespec changed;
	off_t size_bytes;
};

static struct file_stamp stamp_of(const char *path)
{
	struct file_stamp f = { 0 };
	struct stat st;

	if (stat(path, &st) == 0) {
		f.changed = st.st_mtim;
		f.size_bytes = st.st_size;
	}
	return f;
}

static int same_stamp(const struct file_stamp *a, const struct file_stamp *b)
{
	return a->changed.tv_sec == b->changed.tv_sec &&
	       a->changed.tv_nsec == b->changed.tv_nsec &&
	       a->size_bytes == b->size_bytes;
}

/* The file may change without a signal, and cannot be watched everywhere. */
static void wait_stop(struct gateway *g, const sigset_t *signals)
{
	const struct timespec period = { SETTINGS_PERIOD_S, 0 };
	struct file_stamp seen = stamp_of(g->settings_path);
	int signal_no;

	do {
		struct file_stamp now;

		signal_no = sigtimedwait(signals, NULL, &period);
		now = stamp_of(g->settings_path);
		if (signal_no == SIGHUP)
			reload(g, "SIGHUP");
		else if (signal_no < 0 && !same_stamp(&seen, &now))
			reload(g, "the file changed");
		seen = now;
	} while (signal_no < 0 || signal_no == SIGHUP);
}

static int run(struct gateway *g)
{
	struct err err = { 0 };
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGHUP);
	/* Blocked before the threads start, so that only this one takes them. */
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	if (create(g, &err) != ERR_OK || start(g, &err) != ERR_OK) {
		err_print(stderr, &err);
		return 1;
	}
	log_event(LOG_LEVEL_INFO, "started", "data centre %s",
		  g->set.data_centre);
	wait_stop(g, &signals);
	/* A reload must not shorten the waits of the shutdown. */
	sigdelset(&signals, SIGHUP);
	leave(g, &signals);
	stop(g);
	return 0;
}

static int load(const char *path, struct gw_settings *set)
{
	struct err err = { 0 };

	if (gw_settings_load(path, set, &err) == ERR_OK)
		return 1;
	err_print(stderr, &err);
	return 0;
}

/* Reads the command line; returns the exit status, or -1 to go on. */
static int parse(int argc, char **argv, const char *command,
		 struct opt_value *set)
{
	struct err err = { 0 };

	switch (opt_parse(option_defs, GATEWAY_OPTION_COUNT, argc, argv, set,
			  &err)) {
	case OPT_HELP:
		opt_help(stdout, command, option_defs, GATEWAY_OPTION_COUNT);
		return 0;
	case OPT_INVALID:
		err_print(stderr, &err);
		return 2;
	case OPT_OK:
		break;
	}
	return -1;
}

int gateway_check_main(int argc, char **argv)
{
	struct opt_value options[GATEWAY_OPTION_COUNT];
	struct gw_settings set;
	int status = parse(argc, argv, "check", options);

	if (status >= 0)
		return status;
	if (!load(options[GSET_FILE].text, &set))
		return 2;
	printf("%s is valid: host %s in data centre %s\n",
	       options[GSET_FILE].text, set.host, set.data_centre);
	return 0;
}

int gateway_main(int argc, char **argv)
{
	struct gateway *g = util_alloc(1, sizeof(*g));
	struct opt_value options[GATEWAY_OPTION_COUNT];
	int status = parse(argc, argv, "gateway", options);

	if (status < 0) {
		g->settings_path = options[GSET_FILE].text;
		setvbuf(stdout, NULL, _IOLBF, 0);
		status = 2;
		if (load(g->settings_path, &g->set)) {
			log_init(g->set.host, NULL, NULL);
			/* The store is plain HTTP; TLS set-up costs time. */
			curl_global_init(CURL_GLOBAL_NOTHING);
			status = run(g);
		}
	}
	gateway_free(g);
	return status;
}
