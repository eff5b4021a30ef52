/*
 * Subcommand "bench host": a host without control, peer and admin duties, which
 * reads its view from two files. Each such host takes itself for the owner of
 * all targets, so the limits of cold targets hold for each host and not for all
 * hosts together.
 */
#include <apr_general.h>
#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "bench.h"
#include "codec/cfg_json.h"
#include "duty/caller_duty.h"
#include "duty/messages.h"
#include "duty/request_duty.h"
#include "duty/store.h"
#include "duty/target_duty.h"

#define RING_MESSAGES 65536
#define OPEN_MAX 4096
#define STORE_READS_PER_S 2000
#define STORE_WRITES_PER_S 400

/* Positions of the arguments behind "bench host". */
enum host_arg {
	ARG_NAME,
	ARG_CALLER_PORT,
	ARG_STORE_PORT,
	ARG_SEED,
	ARG_CONTRACT,
	ARG_LAYOUT,
	ARG_COUNT
};

static struct view *load_view(char **argv, struct err *err)
{
	g_autofree char *contract_text = NULL;
	g_autofree char *layout_text = NULL;
	struct view *v = view_new();

	v->contracts = util_alloc(1, sizeof(*v->contracts));
	v->layouts = util_alloc(1, sizeof(*v->layouts));
	util_copy_str(v->self, sizeof(v->self), argv[ARG_NAME]);
	if (!g_file_get_contents(argv[ARG_CONTRACT], &contract_text, NULL,
				 NULL) ||
	    !g_file_get_contents(argv[ARG_LAYOUT], &layout_text, NULL, NULL)) {
		err_set(err, ERR_IO,
			"cannot read the contract file or the layout file");
		return v;
	}
	cfg_json_decode_contract(contract_text, v->contracts, err);
	v->contract_count = 1;
	v->layouts[0] = cfg_json_decode_layout(layout_text, err);
	v->layout_count = v->layouts[0] ? 1 : 0;
	return v;
}

static void wait_signal(void)
{
	sigset_t set;
	int number;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigwait(&set, &number);
}

/* Must run before the first thread starts, so that all threads inherit it. */
static void block_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigprocmask(SIG_BLOCK, &set, NULL);
}

/* Prints to standard error, which is build/bench.log. */
static void print_counters(void)
{
	enum metric_id id;

	for (id = 0; id < METRIC_COUNT; id++) {
		if (metric_get(id))
			fprintf(stderr, "%s=%" PRIu64 " ", metric_name(id),
				metric_get(id));
	}
	fprintf(stderr, "\n");
}

enum err_code bench_host(int argc, char **argv, struct err *err)
{
	struct request_options request_opt = { .ring_capacity = RING_MESSAGES };
	struct caller_options caller_opt = { .address = "127.0.0.1",
					     .open_max = OPEN_MAX };
	struct store_options store_opt = { .address = "127.0.0.1",
					   .reads_per_s = STORE_READS_PER_S,
					   .writes_per_s = STORE_WRITES_PER_S };
	struct request_duty *request;
	struct target_duty *target;
	struct caller_duty *caller;
	struct store *store;
	struct msg view = { .type = MSG_VIEW };

	if (argc != ARG_COUNT)
		return err_set(err, ERR_USAGE, "host takes %d arguments",
			       ARG_COUNT);
	block_signals();
	if (apr_initialize() != APR_SUCCESS ||
	    curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK)
		return err_set(err, ERR_INTERNAL, "cannot set up libraries");
	log_init(argv[ARG_NAME], NULL, NULL);
	view.body = load_view(argv, err);
	if (err->code != ERR_OK)
		return err->code;
	request_opt.self = argv[ARG_NAME];
	request_opt.rng_seed = strtoull(argv[ARG_SEED], NULL, 10);
	caller_opt.port = (uint16_t)strtoul(argv[ARG_CALLER_PORT], NULL, 10);
	store_opt.port = (uint16_t)strtoul(argv[ARG_STORE_PORT], NULL, 10);
	store_opt.rng_seed = request_opt.rng_seed;
	request = request_duty_new(&request_opt, err);
	if (!request)
		return err->code;
	target =
		target_duty_new(RING_MESSAGES, request_duty_ring(request), err);
	store = store_new(&store_opt, err);
	caller_opt.request = request_duty_ring(request);
	caller = caller_duty_new(&caller_opt, err);
	if (!target || !store || !caller)
		return err->code;
	store_set_host_count(store, HOSTS_DEFAULT);
	request_duty_options(request)->target = target_duty_ring(target);
	request_duty_options(request)->store = store_ring(store);
	if (store_start(store, err) != ERR_OK ||
	    target_duty_start(target, err) != ERR_OK ||
	    request_duty_start(request, err) != ERR_OK ||
	    ring_push(request_duty_ring(request), &view) != ERR_OK ||
	    caller_duty_start(caller, err) != ERR_OK)
		return err->code;
	wait_signal();
	/* The load has ended; the duties are neither stopped nor freed. */
	print_counters();
	return ERR_OK;
}
