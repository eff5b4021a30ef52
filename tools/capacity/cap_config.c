/* Cost of the configuration against the number of items. */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/util.h"
#include "cap.h"
#include "codec/cfg_json.h"
#include "controller/cfg_revision.h"

#define HEAD_REPEATS 4

static const uint32_t item_sizes[] = { 500, 2000, 4000, 6000, 8000 };

static void make_contract(struct contract *c, uint32_t n)
{
	memset(c, 0, sizeof(*c));
	snprintf(c->customer, sizeof(c->customer), "customer-%06u", n);
	c->index_count = 2;
	util_copy_str(c->indexes[0], NAME_BYTES, "concept");
	util_copy_str(c->indexes[1], NAME_BYTES, "proof-board");
	c->answer_ms = 94;
	c->min_coverage_permille = 950;
	c->rate_per_s = 100;
	c->target_share_permille = 100;
	c->extra_load_permille = 50;
}

static struct cfg_head *make_head(uint32_t items)
{
	struct cfg_head *h = cfg_head_new();
	uint32_t i;

	for (i = 0; i < items; i++) {
		struct cfg_head_entry e = { .rev = i + 1, .change_id = i + 1 };

		snprintf(e.name, sizeof(e.name), "contract/customer-%06u", i);
		cfg_head_advance(h, i + 1);
		cfg_head_put(h, &e);
	}
	return h;
}

static struct cfg_revision *make_revision(uint32_t items)
{
	struct cfg_revision *r = cfg_revision_new(make_head(items));
	uint32_t i;

	for (i = 0; i < items; i++) {
		struct contract contract;
		char *json CLEANUP_FREE = NULL;
		struct cfg_item *item;

		make_contract(&contract, i);
		json = cfg_json_encode_contract(&contract);
		item = cfg_item_new(r->head->entries[i].name, i + 1, i + 1,
				    "operator", json);
		cfg_revision_put(r, item);
		cfg_item_unref(item);
	}
	return r;
}

static double head_bytes(void *ctx)
{
	char *text CLEANUP_FREE = cfg_json_encode_head(ctx);

	return (double)strlen(text);
}

static double head_encode_us(void *ctx)
{
	double start_us = cap_cpu_us();
	uint32_t i;

	for (i = 0; i < HEAD_REPEATS; i++)
		free(cfg_json_encode_head(ctx));
	return (cap_cpu_us() - start_us) / HEAD_REPEATS;
}

static double head_decode_us(void *ctx)
{
	char *text CLEANUP_FREE = cfg_json_encode_head(ctx);
	struct err err = { 0 };
	double start_us = cap_cpu_us();
	uint32_t i;

	for (i = 0; i < HEAD_REPEATS; i++)
		cfg_head_free(cfg_json_decode_head(text, &err));
	return (cap_cpu_us() - start_us) / HEAD_REPEATS;
}

static void measure_heads(struct cap *c, const char *name, const char *unit,
			  cap_run_fn *run)
{
	struct cap_series *s = cap_start(c, name, "item", unit);
	uint32_t i;

	for (i = 0; i < countof(item_sizes); i++) {
		struct cfg_head *h = make_head(item_sizes[i]);

		cap_point(s, item_sizes[i], cap_median(run, h));
		cfg_head_free(h);
	}
	cap_fit(s);
}

static double revision_bytes(void *ctx)
{
	double before = cap_heap_bytes();
	struct cfg_revision *r = make_revision(*(uint32_t *)ctx);
	double bytes = cap_heap_bytes() - before;

	cfg_revision_unref(r);
	return bytes;
}

/* Builds the revision that follows @ctx with one changed item. */
static double revision_apply_us(void *ctx)
{
	struct cfg_revision *r = ctx;
	struct contract contract;
	char *json CLEANUP_FREE = NULL;
	struct cfg_item *item;
	struct cfg_delta d = { .rev = r->head->rev + 1, .recent_count = 1 };
	struct cfg_revision *next;
	double start_us;
	double spent_us;

	make_contract(&contract, 0);
	json = cfg_json_encode_contract(&contract);
	item = cfg_item_new(r->head->entries[0].name, d.rev, d.rev, "operator",
			    json);
	d.recent_change_ids[0] = d.rev;
	d.item_count = 1;
	d.items = &item;
	start_us = cap_cpu_us();
	next = cfg_revision_apply(r, &d);
	spent_us = cap_cpu_us() - start_us;
	cfg_revision_unref(next);
	cfg_item_unref(item);
	return spent_us;
}

static void measure_revisions(struct cap *c)
{
	struct cap_series *s =
		cap_start(c, "configuration set memory", "item", "bytes");
	uint32_t i;

	for (i = 0; i < countof(item_sizes); i++) {
		uint32_t items = item_sizes[i];

		cap_point(s, items, cap_median(revision_bytes, &items));
	}
	cap_fit(s);
	s = cap_start(c, "adopting one change", "item", "us");
	for (i = 0; i < countof(item_sizes); i++) {
		struct cfg_revision *r = make_revision(item_sizes[i]);

		cap_point(s, item_sizes[i], cap_median(revision_apply_us, r));
		cfg_revision_unref(r);
	}
	cap_fit(s);
}

void cap_config(struct cap *c)
{
	measure_heads(c, "head document", "bytes", head_bytes);
	measure_heads(c, "head encoding", "us", head_encode_us);
	measure_heads(c, "head decoding", "us", head_decode_us);
	measure_revisions(c);
}
