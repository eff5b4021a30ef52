/*
 * Cost of building a view, of binding it to the pipeline and of look-ups in it
 * against the number of contracts, targets and hosts.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/util.h"
#include "cap.h"
#include "cap_layout.h"
#include "codec/cfg_json.h"
#include "decide/rendezvous.h"
#include "duty/control_internal.h"
#include "filter/pipeline.h"

#define LOOKUPS 200
#define SHARDS_PER_INDEX 600
#define REPLICAS 3

static void add_contracts(struct view *v, uint32_t count)
{
	uint32_t i;

	v->contracts = util_alloc(count, sizeof(*v->contracts));
	v->contract_count = count;
	for (i = 0; i < count; i++) {
		struct contract *c = &v->contracts[i];

		snprintf(c->customer, sizeof(c->customer), "customer-%06u", i);
		c->index_count = 1;
		util_copy_str(c->indexes[0], NAME_BYTES, "index-0");
	}
}

static double contract_bytes(void *ctx)
{
	double before = cap_heap_bytes();
	struct view *v = view_new();
	double bytes;

	add_contracts(v, *(uint32_t *)ctx);
	bytes = cap_heap_bytes() - before;
	view_unref(v);
	return bytes;
}

static double contract_lookup_us(void *ctx)
{
	const struct view *v = ctx;
	double start_us = cap_cpu_us();
	uint32_t found = 0;
	uint32_t i;

	for (i = 0; i < LOOKUPS; i++) {
		char customer[NAME_BYTES];

		snprintf(customer, sizeof(customer), "customer-%06u",
			 (uint32_t)((uint64_t)i * v->contract_count / LOOKUPS));
		found += view_contract(v, customer) != NULL;
	}
	if (found != LOOKUPS)
		abort();
	return (cap_cpu_us() - start_us) / LOOKUPS;
}

static void measure_contracts(struct cap *c)
{
	static const uint32_t sizes[] = { 1000, 5000, 10000, 20000, 40000 };
	struct cap_series *s =
		cap_start(c, "contracts in one view", "contract", "bytes");
	uint32_t i;

	for (i = 0; i < countof(sizes); i++) {
		uint32_t count = sizes[i];

		cap_point(s, count, cap_median(contract_bytes, &count));
	}
	cap_fit(s);
	s = cap_start(c, "finding a contract", "contract", "us");
	for (i = 0; i < countof(sizes); i++) {
		struct view *v = view_new();

		add_contracts(v, sizes[i]);
		cap_point(s, sizes[i], cap_median(contract_lookup_us, v));
		view_unref(v);
	}
	cap_fit(s);
}

static struct view *make_view(uint32_t targets, uint32_t hosts)
{
	struct view *v = view_new();
	uint32_t shards = targets / REPLICAS;
	uint32_t at = 0;
	uint32_t i;

	add_contracts(v, 10);
	while (at < shards) {
		uint32_t count = util_min_u32(SHARDS_PER_INDEX, shards - at);

		v->layouts = util_grow(v->layouts, v->layout_count + 1,
				       sizeof(*v->layouts));
		v->layouts[v->layout_count] = cap_layout(
			v->layout_count, count, REPLICAS, at * REPLICAS);
		v->layout_count++;
		at += count;
	}
	v->hosts = util_alloc(hosts, sizeof(*v->hosts));
	v->host_count = hosts;
	for (i = 0; i < hosts; i++)
		snprintf(v->hosts[i], NAME_BYTES, "entry-host-%05u", i);
	return v;
}

static void drop_call(void *ctx, struct subrequest_msg *call)
{
	subrequest_msg_free(call);
}

struct bind_run {
	uint32_t targets;
	uint32_t hosts;
	/* Heap of one view and the pipeline's statistics, set by bind_us(). */
	double bytes;
};

/*
 * CPU time of setting a second view: the pipeline then has the statistics of
 * the targets already. Also measures the memory of the first one.
 */
static double bind_us(void *ctx)
{
	struct bind_run *r = ctx;
	struct pipeline_ops ops = { .send = drop_call };
	struct timer_queue *timers = timer_queue_new();
	struct pipeline *p = pipeline_new(&ops, timers, "entry-host-00000", 1);
	double before = cap_heap_bytes();
	double start_us;
	double spent_us;
	struct view *v;

	pipeline_set_view(p, make_view(r->targets, r->hosts), 1);
	r->bytes = cap_heap_bytes() - before;
	v = make_view(r->targets, r->hosts);
	start_us = cap_cpu_us();
	pipeline_set_view(p, v, 2);
	spent_us = cap_cpu_us() - start_us;
	pipeline_free(p);
	timer_queue_free(timers);
	return spent_us;
}

static void measure_bind(struct cap *c, const char *cpu_name,
			 const char *bytes_name, uint32_t hosts)
{
	static const uint32_t sizes[] = { 1500, 3000, 6000, 9000, 13000 };
	struct cap_series cpu = { 0 };
	struct cap_series bytes = { 0 };
	uint32_t i;

	for (i = 0; i < countof(sizes); i++) {
		struct bind_run r = { sizes[i], hosts, 0 };

		cap_point(&cpu, sizes[i], cap_median(bind_us, &r));
		cap_point(&bytes, sizes[i], r.bytes);
	}
	cpu.name = cpu_name;
	cpu.x_unit = "target";
	cpu.y_unit = "us";
	bytes.name = bytes_name;
	bytes.x_unit = "target";
	bytes.y_unit = "bytes";
	*cap_start(c, cpu_name, cpu.x_unit, cpu.y_unit) = cpu;
	cap_fit(&c->series[c->count - 1]);
	*cap_start(c, bytes_name, bytes.x_unit, bytes.y_unit) = bytes;
	cap_fit(&c->series[c->count - 1]);
}

static void measure_bind_hosts(struct cap *c)
{
	static const uint32_t sizes[] = { 8, 100, 425, 850, 1700 };
	struct cap_series *s =
		cap_start(c, "binding 1500 targets", "host", "us");
	uint32_t i;

	for (i = 0; i < countof(sizes); i++) {
		struct bind_run r = { 1500, sizes[i], 0 };

		cap_point(s, sizes[i], cap_median(bind_us, &r));
	}
	cap_fit(s);
}

/*
 * CPU time of building and publishing a view with *@ctx targets, without a
 * running control duty.
 */
static double publish_us(void *ctx)
{
	struct err err = { 0 };
	struct cfg_ops cfg_ops = { 0 };
	struct membership_ops membership_ops = { 0 };
	struct member_info self = { .host = "entry-host-00000" };
	struct view *source = make_view(*(uint32_t *)ctx, 1);
	struct control control = { .cfg = cfg_new(&cfg_ops, 1),
				   .membership = membership_new(
					   &self, &membership_ops, 1, 0) };
	struct msg m;
	double start_us;
	double spent_us;
	uint32_t i;

	control.opt.request = ring_new(4, NULL, NULL, &err);
	control_view_init(&control);
	for (i = 0; i < source->layout_count; i++) {
		char *json CLEANUP_FREE =
			cfg_json_encode_layout(source->layouts[i]);
		g_autofree char *name = g_strdup_printf("layout/index-%u", i);
		struct cfg_item *item =
			cfg_item_new(name, 1, 1, "operator", json);

		control_view_apply_item(&control, item);
		cfg_item_unref(item);
	}
	start_us = cap_cpu_us();
	control_publish(&control, 1);
	spent_us = cap_cpu_us() - start_us;
	if (ring_take(control.opt.request, &m, 1) == 1)
		view_unref(m.body);
	control_view_free(&control);
	ring_free(control.opt.request);
	cfg_free(control.cfg);
	membership_free(control.membership);
	view_unref(source);
	return spent_us;
}

static void measure_publish(struct cap *c)
{
	static const uint32_t sizes[] = { 1500, 3000, 6000, 9000, 13000 };
	struct cap_series *s = cap_start(c, "building a view", "target", "us");
	uint32_t i;

	for (i = 0; i < countof(sizes); i++) {
		uint32_t count = sizes[i];

		cap_point(s, count, cap_median(publish_us, &count));
	}
	cap_fit(s);
}

static double layout_bytes(void *ctx)
{
	struct layout *l = cap_layout(0, *(uint32_t *)ctx, REPLICAS, 0);
	char *json CLEANUP_FREE = cfg_json_encode_layout(l);

	layout_free(l);
	return (double)strlen(json);
}

static void measure_layout_document(struct cap *c)
{
	static const uint32_t sizes[] = { 100, 600, 1200, 2400, 4000 };
	struct cap_series *s =
		cap_start(c, "layout document", "shard", "bytes");
	uint32_t i;

	for (i = 0; i < countof(sizes); i++) {
		uint32_t count = sizes[i];

		cap_point(s, count, cap_median(layout_bytes, &count));
	}
	cap_fit(s);
}

struct rendezvous_run {
	uint32_t hosts;
	char (*names)[NAME_BYTES];
};

/* CPU time of the weights of all hosts for one key. */
static double rendezvous_us(void *ctx)
{
	struct rendezvous_run *r = ctx;
	double start_us = cap_cpu_us();
	volatile uint64_t sum = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < LOOKUPS; i++) {
		char key[NAME_BYTES];

		snprintf(key, sizeof(key), "target-%05u", i);
		for (k = 0; k < r->hosts; k++)
			sum += rendezvous_weight(key, r->names[k]);
	}
	return (cap_cpu_us() - start_us) / LOOKUPS;
}

static void measure_rendezvous(struct cap *c)
{
	static const uint32_t sizes[] = { 8, 100, 425, 850, 1700 };
	struct cap_series *s =
		cap_start(c, "rendezvous hashing of a key", "host", "us");
	uint32_t i;

	for (i = 0; i < countof(sizes); i++) {
		struct view *v = make_view(REPLICAS, sizes[i]);
		struct rendezvous_run r = { sizes[i], v->hosts };

		cap_point(s, sizes[i], cap_median(rendezvous_us, &r));
		view_unref(v);
	}
	cap_fit(s);
}

void cap_view(struct cap *c)
{
	measure_contracts(c);
	measure_bind(c, "binding a view, 8 hosts", "view and statistics", 8);
	measure_bind(c, "binding a view, 1700 hosts",
		     "view and statistics, 1700 hosts", 1700);
	measure_bind_hosts(c);
	measure_publish(c);
	measure_layout_document(c);
	measure_rendezvous(c);
}
