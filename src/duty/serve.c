#include "duty/serve.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/addr.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/signals.h"
#include "duty/admin.h"
#include "duty/caller_duty.h"
#include "duty/control.h"
#include "duty/controllers.h"
#include "duty/logger_duty.h"
#include "duty/messages.h"
#include "duty/peer_fetch.h"
#include "duty/peer_listen.h"
#include "duty/peer_send.h"
#include "duty/request_duty.h"
#include "duty/serve_options.h"
#include "duty/store.h"
#include "duty/target_duty.h"

/*
 * Sub-requests in flight per request that the rings have room for: one for each
 * shard of a large index.
 */
#define SUBREQUESTS_PER_REQUEST 64
/* Largest capacity that ring_new() accepts, in messages. */
#define RING_CAPACITY_MAX 1048576
/* Calls per second that the store grants to all hosts together. */
#define STORE_READS_PER_S 2000
#define STORE_WRITES_PER_S 400
/*
 * Longest wait of a shutdown for the requests in flight. No contract allows a
 * longer answer time.
 */
#define FINISH_MAX_US (60 * US_PER_S)
/* Interval at which a shutdown checks whether requests are still in flight. */
#define FINISH_POLL_MS 20
/* Longest wait in a row for a signal that stops the host. */
#define SIGNAL_WAIT_MS (3600 * (int64_t)MS_PER_S)

struct server {
	/* Parsed settings, indexed by enum serve_option. */
	struct opt_value settings[SERVE_OPTION_COUNT];
	struct logger_duty *logger;
	struct request_duty *request;
	struct target_duty *target;
	struct caller_duty *caller;
	struct store *store;
	struct peer_listen *peer_listen;
	struct peer_send *peer_send;
	struct peer_fetch *peer_fetch;
	struct control *control;
	struct controllers *controllers;
	struct admin *admin;
	/*
	 * 1 once the shutdown has begun. Written by the main thread, read by
	 * the request duty.
	 */
	_Atomic int leaving;
};

static const char *option_text(const struct server *s, enum serve_option id)
{
	return s->settings[id].text;
}

static int64_t option_number(const struct server *s, enum serve_option id)
{
	return s->settings[id].number;
}

static uint64_t rng_seed(const struct server *s)
{
	uint64_t setting = (uint64_t)option_number(s, SERVE_OPT_RNG_SEED);

	return setting ? setting : (uint64_t)clock_wall_us();
}

/* The host can answer callers from now on. Runs on the request duty. */
static void on_ready(void *ctx)
{
	struct server *s = ctx;

	if (!s->leaving)
		admin_set_health(s->admin, ERR_OK);
}

/*
 * This host or its data centre was taken out of service or brought back:
 * /healthz tells the load balancer. Runs on the control duty.
 */
static void on_out_of_service(void *ctx, uint32_t is_out)
{
	struct server *s = ctx;

	admin_set_out_of_service(s->admin, is_out);
}

/*
 * The number of hosts that share the store has changed. Runs on the control
 * duty.
 */
static void on_host_count(void *ctx, uint32_t count)
{
	struct server *s = ctx;

	store_set_host_count(s->store, count);
}

static enum err_code new_request_duties(struct server *s, struct err *err)
{
	uint32_t open_max = (uint32_t)option_number(s, SERVE_OPT_OPEN_MAX);
	/* The ring has room for the result of each sub-request in flight. */
	uint32_t capacity = util_min_u32(RING_CAPACITY_MAX,
					 open_max * SUBREQUESTS_PER_REQUEST);
	struct request_options request = {
		.self = option_text(s, SERVE_OPT_HOST),
		.rng_seed = rng_seed(s),
		.ring_capacity = capacity,
		.became_ready = on_ready,
		.became_ready_ctx = s,
	};
	struct caller_options caller = {
		.address = option_text(s, SERVE_OPT_CALLER_ADDRESS),
		.port = (uint16_t)option_number(s, SERVE_OPT_CALLER_PORT),
		.open_max = open_max,
	};

	s->request = request_duty_new(&request, err);
	if (!s->request)
		return err->code;
	s->target =
		target_duty_new(capacity, request_duty_ring(s->request), err);
	if (!s->target)
		return err->code;
	caller.request = request_duty_ring(s->request);
	s->caller = caller_duty_new(&caller, err);
	return s->caller ? ERR_OK : err->code;
}

static enum err_code new_store(struct server *s, struct err *err)
{
	struct store_options options = {
		.port = (uint16_t)option_number(s, SERVE_OPT_STORE_PORT),
		.reads_per_s = STORE_READS_PER_S,
		.writes_per_s = STORE_WRITES_PER_S,
		.rng_seed = rng_seed(s),
	};

	util_copy_str(options.address, sizeof(options.address),
		      option_text(s, SERVE_OPT_STORE_ADDRESS));
	s->store = store_new(&options, err);
	return s->store ? ERR_OK : err->code;
}

/* Parses the value of --peers, "ADDRESS:PORT,ADDRESS:PORT". */
static enum err_code
parse_peers(struct server *s, struct control_options *options, struct err *err)
{
	char list[sizeof(s->settings[SERVE_OPT_PEERS].text)];
	char *save = NULL;
	char *entry;

	util_copy_str(list, sizeof(list), option_text(s, SERVE_OPT_PEERS));
	for (entry = strtok_r(list, ",", &save); entry;
	     entry = strtok_r(NULL, ",", &save)) {
		struct peer_address *seed =
			&options->seeds[options->seed_count];
		char *colon = strrchr(entry, ':');
		uint16_t port = colon ? addr_parse_port(colon + 1) : 0;

		if (!port || options->seed_count == CONTROL_SEEDS_MAX)
			return err_set(err, ERR_SETTING,
				       "--peers has \"%.40s\", accepted up to "
				       "%d ADDRESS:PORT",
				       entry, CONTROL_SEEDS_MAX);
		*colon = '\0';
		util_copy_str(seed->address, sizeof(seed->address), entry);
		seed->port = port;
		options->seed_count++;
	}
	return ERR_OK;
}

static enum err_code new_control(struct server *s, struct err *err)
{
	struct control_options options = {
		.port = (uint16_t)option_number(s, SERVE_OPT_PEER_PORT),
		.incarnation = (uint64_t)clock_wall_us() / US_PER_MS,
		.rng_seed = rng_seed(s),
		.admin_call_received = controllers_admin_call,
		.host_count_changed = on_host_count,
		.host_count_changed_ctx = s,
	};

	if (parse_peers(s, &options, err) != ERR_OK)
		return err->code;

	util_copy_str(options.host, sizeof(options.host),
		      option_text(s, SERVE_OPT_HOST));
	util_copy_str(options.data_centre, sizeof(options.data_centre),
		      option_text(s, SERVE_OPT_DATA_CENTRE));
	util_copy_str(options.address, sizeof(options.address),
		      option_text(s, SERVE_OPT_PEER_ADDRESS));
	s->control = control_new(&options, err);
	if (!s->control)
		return err->code;
	s->controllers = controllers_new(s->control, options.host,
					 options.data_centre, options.rng_seed);
	return ERR_OK;
}

static enum err_code new_peer_duties(struct server *s, struct err *err)
{
	s->peer_listen =
		peer_listen_new(option_text(s, SERVE_OPT_PEER_ADDRESS),
				(uint16_t)option_number(s, SERVE_OPT_PEER_PORT),
				control_ring(s->control), err);
	if (!s->peer_listen)
		return err->code;
	s->peer_send = peer_send_new(err);
	if (!s->peer_send)
		return err->code;
	s->peer_fetch = peer_fetch_new(err);
	return s->peer_fetch ? ERR_OK : err->code;
}

static enum err_code new_admin(struct server *s, struct err *err)
{
	struct admin_options options = {
		.port = (uint16_t)option_number(s, SERVE_OPT_ADMIN_PORT),
		.control = control_ring(s->control),
	};

	util_copy_str(options.address, sizeof(options.address),
		      option_text(s, SERVE_OPT_ADMIN_ADDRESS));
	if (!util_copy_str(options.token, sizeof(options.token),
			   option_text(s, SERVE_OPT_ADMIN_TOKEN)))
		return err_set(err, ERR_SETTING,
			       "--admin-token is too long, accepted up to %zu "
			       "bytes",
			       sizeof(options.token) - 1);
	s->admin = admin_new(&options, err);
	if (!s->admin)
		return err->code;
	admin_set_health(s->admin, ERR_NO_CONFIG);
	controllers_on_out_of_service(s->controllers, on_out_of_service, s);
	return ERR_OK;
}

static void connect_rings(struct server *s)
{
	struct control_options *c = control_options(s->control);
	struct request_options *r = request_duty_options(s->request);

	/*
	 * With port 0 in the settings, the port is known only after the bind.
	 */
	c->port = peer_listen_port(s->peer_listen);
	c->store = store_ring(s->store);
	c->request = request_duty_ring(s->request);
	c->peer_send = peer_send_ring(s->peer_send);
	c->peer_fetch = peer_fetch_ring(s->peer_fetch);
	c->peer_listen = peer_listen_ring(s->peer_listen);
	r->target = target_duty_ring(s->target);
	r->store = store_ring(s->store);
	r->control = control_ring(s->control);
}

static enum err_code create(struct server *s, struct err *err)
{
	enum err_code (*const steps[])(struct server *, struct err *) = {
		new_request_duties, new_store, new_control,
		new_peer_duties,    new_admin,
	};
	uint32_t i;

	s->logger = logger_duty_new(stderr, err);
	if (!s->logger)
		return err->code;
	for (i = 0; i < countof(steps); i++) {
		if (steps[i](s, err) != ERR_OK)
			return err->code;
	}
	connect_rings(s);
	return ERR_OK;
}

static enum err_code start(struct server *s, struct err *err)
{
	if (target_duty_start(s->target, err) != ERR_OK ||
	    store_start(s->store, err) != ERR_OK ||
	    peer_send_start(s->peer_send, err) != ERR_OK ||
	    peer_fetch_start(s->peer_fetch, err) != ERR_OK ||
	    request_duty_start(s->request, err) != ERR_OK ||
	    control_start(s->control, err) != ERR_OK ||
	    peer_listen_start(s->peer_listen, err) != ERR_OK ||
	    caller_duty_start(s->caller, err) != ERR_OK)
		return err->code;
	return ERR_OK;
}

static void push_leave(struct ring *ring)
{
	struct msg m = { MSG_LEAVE, NULL, NULL };

	if (ring_push(ring, &m) != ERR_OK)
		log_event(LOG_LEVEL_WARNING, "leave_not_sent",
			  "a duty was not told that this host leaves: its ring "
			  "is full or closed");
}

/* Returns on SIGTERM or SIGINT. There is no settings file to be read again. */
static void wait_stop(const sigset_t *signals)
{
	int signal_no;

	do {
		signal_no = signals_wait(signals, SIGNAL_WAIT_MS);
		if (signal_no == SIGHUP)
			log_event(LOG_LEVEL_INFO, "settings_checked",
				  "SIGHUP: the settings are those of the "
				  "command line, which do not change");
	} while (!signal_no || signal_no == SIGHUP);
}

static uint32_t open_requests(struct server *s)
{
	return request_duty_open_count(s->request) +
	       caller_duty_open_count(s->caller);
}

/*
 * Graceful shutdown: the load balancer and the peers learn of it first, then
 * new requests are refused, then the requests in flight finish.
 */
static void leave(struct server *s, const sigset_t *signals)
{
	int64_t until_us;

	log_event(LOG_LEVEL_INFO, "leaving", "draining for %" PRId64 " ms",
		  option_number(s, SERVE_OPT_DRAIN_MS));
	s->leaving = 1;
	admin_set_health(s->admin, ERR_STOPPING);
	caller_duty_drain(s->caller);
	push_leave(control_ring(s->control));
	signals_wait(signals, option_number(s, SERVE_OPT_DRAIN_MS));
	push_leave(request_duty_ring(s->request));
	until_us = clock_now_us() + FINISH_MAX_US;
	while (open_requests(s) > 0 && clock_now_us() < until_us) {
		if (signals_wait(signals, FINISH_POLL_MS))
			break;
	}
	log_event(LOG_LEVEL_INFO, "stopped", "%u requests unfinished",
		  open_requests(s));
}

static void stop(struct server *s)
{
	caller_duty_stop(s->caller);
	peer_listen_stop(s->peer_listen);
	peer_listen_join(s->peer_listen);
	control_stop(s->control);
	control_join(s->control);
	peer_fetch_stop(s->peer_fetch);
	peer_fetch_join(s->peer_fetch);
	peer_send_stop(s->peer_send);
	peer_send_join(s->peer_send);
	target_duty_stop(s->target);
	request_duty_stop(s->request);
	/* The control and request duties have ended and no longer call it. */
	admin_free(s->admin);
	s->admin = NULL;
	store_stop(s->store);
	store_join(s->store);
}

static void server_free(struct server *s)
{
	admin_free(s->admin);
	request_duty_free(s->request);
	caller_duty_free(s->caller);
	target_duty_free(s->target);
	/* Edits in flight end with an error, which the controllers take. */
	control_free(s->control);
	controllers_free(s->controllers);
	peer_listen_free(s->peer_listen);
	peer_send_free(s->peer_send);
	peer_fetch_free(s->peer_fetch);
	store_free(s->store);
	logger_duty_free(s->logger);
	free(s);
}

static void print_ready(struct server *s)
{
	printf("ready caller=%u admin=%u peer=%u\n",
	       caller_duty_port(s->caller), admin_port(s->admin),
	       peer_listen_port(s->peer_listen));
	fflush(stdout);
}

static int run(struct server *s)
{
	struct err err = { 0 };
	sigset_t signals;

	signals_init(&signals);
	if (create(s, &err) != ERR_OK) {
		err_print(stderr, &err);
		return 1;
	}
	if (start(s, &err) != ERR_OK) {
		err_print(stderr, &err);
		stop(s);
		return 1;
	}
	print_ready(s);
	wait_stop(&signals);
	/* A second SIGTERM or SIGINT shortens the shutdown, SIGHUP does not. */
	sigdelset(&signals, SIGHUP);
	leave(s, &signals);
	stop(s);
	return 0;
}

int serve_main(int argc, char **argv)
{
	struct server *s = util_alloc(1, sizeof(*s));
	struct err err = { 0 };
	int status = 0;

	switch (opt_parse(serve_option_defs, SERVE_OPTION_COUNT, argc, argv,
			  s->settings, &err)) {
	case OPT_HELP:
		opt_help(stdout, "serve", serve_option_defs,
			 SERVE_OPTION_COUNT);
		break;
	case OPT_INVALID:
		err_print(stderr, &err);
		status = 2;
		break;
	case OPT_OK:
		log_init(option_text(s, SERVE_OPT_HOST), NULL, NULL);
		curl_global_init(CURL_GLOBAL_ALL);
		status = run(s);
		break;
	}
	server_free(s);
	return status;
}
