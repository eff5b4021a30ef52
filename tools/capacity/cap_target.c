/* CPU time of sub-requests that the target duty sends to stand-ins by HTTP. */
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/util.h"
#include "bench/proc.h"
#include "cap.h"
#include "duty/messages.h"
#include "duty/target_duty.h"

#define RING_CAPACITY 65536
#define TARGETS 8
/* Sub-requests in flight at once on each target. */
#define OPEN_PER_TARGET 4
#define TAKE_MAX 64
#define DEADLINE_US (10 * US_PER_S)
#define WAIT_US (5 * US_PER_S)

struct target_run {
	struct target_duty *duty;
	struct ring *results;
	uint16_t ports[TARGETS];
	/* ID of the last sub-request sent. */
	uint64_t last_sub_id;
	/* Sub-requests of one run. */
	uint32_t calls;
	/* Failed sub-requests of all runs. */
	uint32_t failed;
};

static void send_call(struct target_run *r)
{
	struct subrequest_msg *call = util_alloc(1, sizeof(*call));
	struct msg m = { MSG_SUBREQUEST, call, NULL };

	call->sub_id = ++r->last_sub_id;
	call->op = OP_SEARCH;
	call->is_idempotent = 1;
	call->limit = 10;
	call->text = util_strdup("heron");
	call->port = r->ports[call->sub_id % TARGETS];
	call->connection_limit = OPEN_PER_TARGET * 2;
	call->deadline_us = clock_now_us() + DEADLINE_US;
	util_copy_str(call->request_id, sizeof(call->request_id), "c1-4711");
	util_copy_str(call->index, sizeof(call->index), "index-0");
	util_copy_str(call->shard, sizeof(call->shard), "shard-0001");
	util_copy_str(call->snapshot, sizeof(call->snapshot), "s1");
	util_copy_str(call->address, sizeof(call->address), "127.0.0.1");
	if (ring_push(target_duty_ring(r->duty), &m) != ERR_OK) {
		subrequest_msg_free(call);
		r->failed++;
	}
}

static double round_trips_cpu_us(void *ctx)
{
	struct target_run *r = ctx;
	struct msg out[TAKE_MAX];
	uint32_t sent = util_min_u32(r->calls, TARGETS * OPEN_PER_TARGET);
	uint32_t answered = 0;
	double start_us = cap_cpu_us();
	uint32_t i;

	for (i = 0; i < sent; i++)
		send_call(r);
	while (answered < r->calls) {
		uint32_t count = ring_wait(r->results, out, TAKE_MAX, WAIT_US);

		if (!count)
			break;
		for (i = 0; i < count; i++) {
			struct subrequest_result *result = out[i].body;

			r->failed += result->code != ERR_OK;
			subrequest_result_free(result);
			if (sent < r->calls) {
				send_call(r);
				sent++;
			}
		}
		answered += count;
	}
	r->failed += r->calls - answered;
	return cap_cpu_us() - start_us;
}

static enum err_code start(struct target_run *r, struct proc **standin,
			   struct err *err)
{
	const char *args[] = { "build/standin", "target", "--count", "8",
			       "--service-us",	"500",	  "--slots", "4",
			       "--run-s",	"300",	  NULL };
	uint32_t i;

	*standin = proc_start(args, err);
	if (!*standin)
		return err->code;
	for (i = 0; i < TARGETS; i++) {
		int64_t port = proc_number(*standin, "target", WAIT_US);

		if (port < 0)
			return err_set(err, ERR_IO,
				       "target stand-ins did not print their "
				       "ports");
		r->ports[i] = (uint16_t)port;
	}
	r->results = ring_new(RING_CAPACITY, NULL, NULL, err);
	if (r->results)
		r->duty = target_duty_new(RING_CAPACITY, r->results, err);
	if (!r->duty)
		return err->code;
	return target_duty_start(r->duty, err);
}

enum err_code cap_target(struct cap *c, struct err *err)
{
	static const uint32_t sizes[] = { 2000, 4000, 8000, 16000 };
	struct target_run r = { 0 };
	struct proc *standin = NULL;
	struct cap_series *s;
	uint32_t i;

	if (start(&r, &standin, err) != ERR_OK) {
		proc_stop(standin);
		return err->code;
	}
	s = cap_start(c, "HTTP sub-request, host's part", "sub-request", "us");
	for (i = 0; i < countof(sizes); i++) {
		r.calls = sizes[i];
		cap_point(s, sizes[i], cap_median(round_trips_cpu_us, &r));
	}
	cap_fit(s);
	target_duty_stop(r.duty);
	target_duty_free(r.duty);
	ring_free(r.results);
	proc_stop(standin);
	if (r.failed)
		return err_set(err, ERR_IO, "%u sub-requests failed", r.failed);
	return ERR_OK;
}
