#include "duty/gateway.h"

#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/opt.h"
#include "base/signals.h"
#include "codec/gw_settings.h"
#include "duty/egress.h"
#include "duty/gw_control.h"
#include "duty/gw_duty.h"
#include "duty/ingress.h"
#include "duty/logger_duty.h"
#include "duty/messages.h"
#include "duty/relay.h"
#include "duty/store.h"

/* Port of the metrics page, at the address of the readiness page. */
#define METRICS_PORT 9464
/*
 * Descriptors kept for files, the store and connections to targets; half of all
 * descriptors if the settings allow no more than twice as many.
 */
#define DESCRIPTORS_RESERVED 1200
/*
 * The part of the memory that messages of 16 KB and more may hold: buffers grow
 * to up to twice their content, and a message is in two of them while it is
 * passed on.
 */
#define MESSAGE_MEMORY_SHARE 4
/* Number of hosts assumed to share the limits until the store names them. */
#define HOSTS_ASSUMED 12
/*
 * New connections are accepted for this long after SIGTERM, but for no more
 * than half of the grace time: the load balancer needs two readiness checks,
 * one a second, to send them elsewhere.
 */
#define LEAVE_MS 3500
/*
 * All requests are answered this long before the end of the grace time. The
 * rest is for writing the answers and for stopping the threads.
 */
#define STOP_MS 400
/* Of STOP_MS, the time for writing the answers. */
#define LAST_ANSWERS_MS 250
#define FINISH_POLL_MS 20
/* Interval at which the settings file is checked for changes. */
#define SETTINGS_PERIOD_MS (2 * MS_PER_S)

#define GATEWAY_OPTIONS(DEF)                                            \
	DEF(GATEWAY_OPTION_SETTINGS, "settings", "COWSLIPPOINT_CONFIG", \
	    OPT_TEXT, "/etc/cowslippoint/node.yaml", 0, 0,              \
	    "path of the settings "                                     \
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
	struct gw_settings settings;
	/* Memory for messages. */
	struct memory_account memory;
	struct logger_duty *logger;
	struct store *store;
	struct egress *egress;
	struct gw_duty *request;
	struct ingress *ingress;
	struct gw_control *control;
	/* NULL when the settings give this host no peer address. */
	struct relay *relay;
};

static void on_caller_limits(void *ctx, const struct caller_limits *l)
{
	struct gateway *g = ctx;

	ingress_set_limits(g->ingress, l);
}

static void on_host_count(void *ctx, uint32_t hosts)
{
	struct gateway *g = ctx;

	store_set_host_count(g->store, hosts);
}

static struct ingress_endpoint to_ingress_endpoint(const struct gw_endpoint *e)
{
	struct ingress_endpoint at = { .port = e->port };

	util_copy_str(at.address, sizeof(at.address), e->address);
	return at;
}

static void create_ingress(struct gateway *g, struct err *err)
{
	struct ingress_options o = {
		.caller = to_ingress_endpoint(&g->settings.caller_endpoint),
		.ready = to_ingress_endpoint(&g->settings.ready_endpoint),
		.metrics = to_ingress_endpoint(&g->settings.ready_endpoint),
		.account = &g->memory,
		.requests = gw_duty_ring(g->request),
		.is_ready = gw_duty_is_ready,
		.ready_ctx = g->request,
	};

	o.metrics.port = METRICS_PORT;
	o.connections_max =
		g->settings.descriptors > 2 * DESCRIPTORS_RESERVED
			? g->settings.descriptors - DESCRIPTORS_RESERVED
			: g->settings.descriptors / 2;
	g->ingress = ingress_new(&o, err);
}

static void create_store(struct gateway *g, uint64_t seed, struct err *err)
{
	struct store_options o = { .port = g->settings.store_endpoint.port,
				   .reads_per_s = g->settings.store_reads_per_s,
				   .writes_per_s =
					   g->settings.store_writes_per_s,
				   .rng_seed = seed };

	util_copy_str(o.address, sizeof(o.address),
		      g->settings.store_endpoint.address);
	g->store = store_new(&o, err);
	if (g->store)
		store_set_host_count(g->store, HOSTS_ASSUMED);
}

static void create_control(struct gateway *g, struct err *err)
{
	const struct gw_settings *settings = &g->settings;
	struct gw_control_options o = {
		.hosts_assumed = HOSTS_ASSUMED,
		.apply_ms = util_min_u32(settings->config_apply_ms,
					 settings->drain_ms),
		.store_writes_per_s = settings->store_writes_per_s,
		.exposure_permille = settings->exposure_permille,
		.store = store_ring(g->store),
		.relay = g->relay ? relay_ring(g->relay) : NULL,
		.views = gw_duty_ring(g->request),
		.limits_changed = on_caller_limits,
		.host_count_changed = on_host_count,
		.notify_ctx = g,
		.seed_count = settings->seed_count,
	};
	uint32_t i;

	util_copy_str(o.self.name, sizeof(o.self.name), settings->host);
	util_copy_str(o.self.data_centre, sizeof(o.self.data_centre),
		      settings->data_centre);
	util_copy_str(o.self.address, sizeof(o.self.address),
		      settings->peer_endpoint.address);
	o.self.port = settings->peer_endpoint.port;
	o.self.core_permille = settings->core_permille;
	o.self.link_mbps = settings->link_mbps;
	for (i = 0; i < settings->seed_count; i++) {
		util_copy_str(o.seeds[i].address, sizeof(o.seeds[i].address),
			      settings->seeds[i].address);
		o.seeds[i].port = settings->seeds[i].port;
	}
	g->control = gw_control_new(&o, err);
}

static struct gw_tuning tuning_of(const struct gw_settings *settings)
{
	return (struct gw_tuning){ .extra_call_permille =
					   settings->retry_permille,
				   .extra_call_slack = settings->retry_slack,
				   .core_permille = settings->core_permille,
				   .link_mbps = settings->link_mbps };
}

static enum err_code create_duties(struct gateway *g, struct err *err)
{
	struct gw_options o = { .started_us = clock_now_us(),
				.tuning = tuning_of(&g->settings),
				.seed = (uint64_t)clock_wall_us() };

	g->memory.limit_bytes =
		(int64_t)g->settings.memory_mb * 1048576 / MESSAGE_MEMORY_SHARE;
	util_copy_str(o.data_centre, sizeof(o.data_centre),
		      g->settings.data_centre);
	if (g->settings.peer_endpoint.port)
		util_copy_str(o.host, sizeof(o.host), g->settings.host);
	g->logger = logger_duty_new(stdout, err);
	if (g->logger)
		create_store(g, o.seed, err);
	if (g->store)
		g->egress = egress_new(err);
	if (g->egress) {
		egress_set_account(g->egress, &g->memory);
		g->request = gw_duty_new(&o, err);
	}
	if (g->request)
		create_ingress(g, err);
	if (g->ingress && g->settings.peer_endpoint.port)
		g->relay = relay_new(g->settings.peer_endpoint.address,
				     g->settings.peer_endpoint.port, err);
	if (g->ingress && err->code == ERR_OK)
		create_control(g, err);
	return g->control ? ERR_OK : err->code;
}

static enum err_code start_duties(struct gateway *g, struct err *err)
{
	if (store_start(g->store, err) != ERR_OK ||
	    egress_start(g->egress, gw_duty_ring(g->request), err) != ERR_OK ||
	    gw_duty_start(g->request, ingress_ring(g->ingress),
			  egress_ring(g->egress), gw_control_ring(g->control),
			  g->relay ? relay_ring(g->relay) : NULL,
			  err) != ERR_OK ||
	    (g->relay &&
	     relay_start(g->relay, gw_control_ring(g->control),
			 gw_duty_ring(g->request), err) != ERR_OK) ||
	    gw_control_start(g->control, err) != ERR_OK)
		return err->code;
	return ingress_start(g->ingress, err);
}

/* 1 if no caller and no other host waits for an answer. */
static int is_finished(const struct gateway *g)
{
	return ingress_is_finished(g->ingress) &&
	       (!g->relay || !relay_forwarded_count(g->relay));
}

/* Waits for @ms; signals have no effect meanwhile. */
static void wait_ms(int64_t ms)
{
	struct timespec left = { .tv_sec = ms / MS_PER_S,
				 .tv_nsec = ms % MS_PER_S * 1000000 };

	/* SIGCONT after a pause interrupts it. */
	while (nanosleep(&left, &left) < 0 && errno == EINTR)
		;
}

static void wait_finished(const struct gateway *g, int64_t until_us)
{
	while (!is_finished(g) && clock_now_us() < until_us)
		wait_ms(FINISH_POLL_MS);
}

static void order_leave(struct gateway *g, int64_t stop_us)
{
	struct gw_leave_order *order = util_alloc(1, sizeof(*order));
	struct msg m = { MSG_GW_LEAVE, order, free };

	order->stop_us = stop_us;
	if (ring_push(gw_duty_ring(g->request), &m) == ERR_OK)
		return;
	log_event(LOG_LEVEL_WARNING, "ring_full",
		  "requests may outlast the grace time");
	free(order);
}

static void tell_ingress(struct gateway *g, uint32_t type)
{
	struct msg m = { type, NULL, NULL };

	if (ring_push(ingress_ring(g->ingress), &m) != ERR_OK)
		log_event(LOG_LEVEL_WARNING, "ring_full",
			  "idle caller connections stay open");
}

/*
 * Graceful shutdown: the host reports at once that it is not ready. Until the
 * load balancer has noticed, new connections are served, and each connection is
 * closed after its answer, unless the caller has sent more ahead. Then no more
 * are accepted, and idle ones are closed.
 * Requests are answered until stop_us, or refused once it is known that they
 * would not end by then (gw_leave()). A second SIGTERM changes nothing: the
 * caller of the first one may send it again.
 */
static void shut_down(struct gateway *g)
{
	int64_t now_us = clock_now_us();
	int64_t grace_us = (int64_t)g->settings.grace_ms * US_PER_MS;
	int64_t stop_us = now_us + grace_us - STOP_MS * US_PER_MS;
	int64_t leave_ms = util_min_i64(LEAVE_MS, g->settings.grace_ms / 2);

	log_event(LOG_LEVEL_INFO, "leaving",
		  "draining for %lld ms, stopping after %lld ms",
		  (long long)leave_ms,
		  (long long)((stop_us - now_us) / US_PER_MS));
	ingress_drain(g->ingress);
	order_leave(g, stop_us);
	wait_ms(leave_ms);
	tell_ingress(g, MSG_LEAVE);
	wait_finished(g, stop_us);
	tell_ingress(g, MSG_CLOSE);
	wait_finished(g, stop_us + LAST_ANSWERS_MS * US_PER_MS);
	log_event(LOG_LEVEL_INFO, "stopped", "%u requests unfinished",
		  ingress_caller_count(g->ingress));
}

/*
 * Ends the threads, those that send to others before these. They send in both
 * directions, so nothing is freed before all have ended; a push to the ring of
 * a thread that has ended is refused.
 */
static void stop_duties(struct gateway *g)
{
	ingress_stop(g->ingress);
	gw_duty_stop(g->request);
	egress_stop(g->egress);
	if (g->relay)
		relay_stop(g->relay);
	gw_control_stop(g->control);
	store_stop(g->store);
	store_join(g->store);
}

/* Freeing a duty sends nothing, so the order does not matter. */
static void gateway_free(struct gateway *g)
{
	ingress_free(g->ingress);
	gw_duty_free(g->request);
	egress_free(g->egress);
	relay_free(g->relay);
	gw_control_free(g->control);
	store_free(g->store);
	logger_duty_free(g->logger);
	free(g);
}

/* 1 if @b differs from @a in a setting that only takes effect at a start. */
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
	       a->descriptors != b->descriptors || a->memory_mb != b->memory_mb;
}

static void apply_settings(struct gateway *g,
			   const struct gw_settings *settings)
{
	struct gw_tuning *t = util_alloc(1, sizeof(*t));
	struct msg m = { MSG_GW_TUNING, t, free };

	*t = tuning_of(settings);
	g->settings.retry_permille = settings->retry_permille;
	g->settings.retry_slack = settings->retry_slack;
	g->settings.core_permille = settings->core_permille;
	g->settings.link_mbps = settings->link_mbps;
	g->settings.grace_ms = settings->grace_ms;
	if (ring_push(gw_duty_ring(g->request), &m) != ERR_OK) {
		log_event(LOG_LEVEL_ERROR, "ring_full",
			  "changed settings dropped");
		free(t);
	}
}

/* Reads the settings file again; an invalid file changes no setting. */
static void reload_settings(struct gateway *g, const char *cause)
{
	struct gw_settings settings;
	struct err err = { 0 };

	if (gw_settings_load(g->settings_path, &settings, &err) != ERR_OK) {
		log_event(LOG_LEVEL_ERROR, "settings_refused",
			  "%s: %d %s: %s; the settings in effect are kept",
			  cause, (int)err.code, err_name(err.code), err.detail);
		return;
	}
	apply_settings(g, &settings);
	log_event(LOG_LEVEL_INFO, "settings_checked",
		  "%s: retry_ratio, retry_slack, core_share and grace_s are in "
		  "effect%s",
		  cause,
		  needs_restart(&g->settings, &settings) ? "; names, "
							   "addresses, "
							   "descriptors and "
							   "memory "
							   "change at the "
							   "next start"
							 : "");
}

/* File status that shows whether the file has changed. */
struct file_stamp {
	struct timespec modified;
	off_t size_bytes;
};

static struct file_stamp stamp_of(const char *path)
{
	struct file_stamp f = { 0 };
	struct stat st;

	if (stat(path, &st) == 0) {
		f.modified = st.st_mtim;
		f.size_bytes = st.st_size;
	}
	return f;
}

static int is_same_stamp(const struct file_stamp *a, const struct file_stamp *b)
{
	return a->modified.tv_sec == b->modified.tv_sec &&
	       a->modified.tv_nsec == b->modified.tv_nsec &&
	       a->size_bytes == b->size_bytes;
}

/*
 * Waits for SIGTERM or SIGINT. Reloads the settings on SIGHUP and when the file
 * has changed. The file is polled because it may change without a signal and
 * change notification is not available everywhere.
 */
static void wait_for_stop(struct gateway *g, const sigset_t *signals)
{
	struct file_stamp previous = stamp_of(g->settings_path);
	int signal_no;

	do {
		struct file_stamp now;

		signal_no = signals_wait(signals, SETTINGS_PERIOD_MS);
		now = stamp_of(g->settings_path);
		if (signal_no == SIGHUP)
			reload_settings(g, "SIGHUP");
		else if (!signal_no && !is_same_stamp(&previous, &now))
			reload_settings(g, "the file changed");
		previous = now;
	} while (!signal_no || signal_no == SIGHUP);
}

static int run(struct gateway *g)
{
	struct err err = { 0 };
	sigset_t signals;

	signals_init(&signals);
	if (create_duties(g, &err) != ERR_OK) {
		err_print(stderr, &err);
		return 1;
	}
	if (start_duties(g, &err) != ERR_OK) {
		err_print(stderr, &err);
		stop_duties(g);
		return 1;
	}
	log_event(LOG_LEVEL_INFO, "started", "data centre %s",
		  g->settings.data_centre);
	wait_for_stop(g, &signals);
	shut_down(g);
	stop_duties(g);
	return 0;
}

static int load_settings(const char *path, struct gw_settings *settings)
{
	struct err err = { 0 };

	if (gw_settings_load(path, settings, &err) == ERR_OK)
		return 1;
	err_print(stderr, &err);
	return 0;
}

/* Returns the exit status, or -1 when the command is to go on. */
static int parse_options(int argc, char **argv, const char *command,
			 struct opt_value *values)
{
	struct err err = { 0 };

	switch (opt_parse(option_defs, GATEWAY_OPTION_COUNT, argc, argv, values,
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
	struct gw_settings settings;
	int status = parse_options(argc, argv, "check", options);

	if (status >= 0)
		return status;
	if (!load_settings(options[GATEWAY_OPTION_SETTINGS].text, &settings))
		return 2;
	printf("%s is valid: host %s in data centre %s\n",
	       options[GATEWAY_OPTION_SETTINGS].text, settings.host,
	       settings.data_centre);
	return 0;
}

int gateway_main(int argc, char **argv)
{
	struct gateway *g = util_alloc(1, sizeof(*g));
	struct opt_value options[GATEWAY_OPTION_COUNT];
	int status = parse_options(argc, argv, "gateway", options);

	if (status < 0) {
		g->settings_path = options[GATEWAY_OPTION_SETTINGS].text;
		setvbuf(stdout, NULL, _IOLBF, 0);
		status = 2;
		if (load_settings(g->settings_path, &g->settings)) {
			log_init(g->settings.host, NULL, NULL);
			/* The store uses plain HTTP; TLS set-up takes time. */
			curl_global_init(CURL_GLOBAL_NOTHING);
			status = run(g);
		}
	}
	gateway_free(g);
	return status;
}
