/*
 * Random runs of a host's copy of the store's keys beside a plain model of the
 * store, which takes writes and deletions, comes back from copies of itself, and
 * whose answers, listings and changes, arrive late and in any order. Guards
 * against a copy that differs from the store once all answers have arrived.
 */
#include <glib.h>
#include <string.h>

#include "controller/store_mirror.h"
#include "model/store_pos.h"

#define RUNS 20000
#define STEPS 120
#define KEYS 6
#define ANSWERS_MAX 8
#define CHANGES_MAX (STEPS + 1)
#define SEED 1

struct model_key {
	/* 0: the key does not exist. */
	uint32_t value;
	uint64_t rev;
};

/* Revision of a change and its key. */
struct model_change {
	uint64_t rev;
	uint32_t key;
};

struct model {
	uint64_t era;
	uint64_t rev;
	struct model_key keys[KEYS];
	struct model_change changes[CHANGES_MAX];
	uint32_t change_count;
	/* Values that were given out, also in lost histories. */
	uint32_t last_value;
};

struct run {
	GRand *rand;
	struct model store;
	struct model copy;
	struct store_mirror *mirror;
	/* Answers under way. */
	struct store_update *answers[ANSWERS_MAX];
	uint32_t answer_count;
};

static uint32_t below(struct run *r, uint32_t n)
{
	return (uint32_t)g_rand_int_range(r->rand, 0, (gint32)n);
}

static void write_key(struct run *r, int is_deletion)
{
	struct model *m = &r->store;
	uint32_t key = below(r, KEYS);

	if ((is_deletion && !m->keys[key].value) ||
	    m->change_count == CHANGES_MAX)
		return;
	m->keys[key].value = is_deletion ? 0 : ++m->last_value;
	m->keys[key].rev = ++m->rev;
	m->changes[m->change_count++] = (struct model_change){ m->rev, key };
}

/* The store comes back from the copy: what was written since is gone. */
static void restore(struct run *r)
{
	uint64_t era = r->store.era;
	uint32_t last_value = r->store.last_value;

	r->store = r->copy;
	r->store.era = era + 1;
	r->store.last_value = last_value;
	r->copy = r->store;
}

static void add_pair(struct store_update *u, const struct model *m,
		     uint32_t key)
{
	struct kv_pair *p = &u->pairs[u->pair_count++];

	p->key[0] = (char)('a' + key);
	p->rev = store_pos(m->era, m->keys[key].rev);
	if (!m->keys[key].value)
		return;
	p->value = g_strdup_printf("%u", m->keys[key].value);
	p->value_bytes = (uint32_t)strlen(p->value);
}

/* The store's answer to a listing, or to a watch from the mirror's position. */
static struct store_update *make_answer(struct run *r, int is_listing)
{
	const struct model *m = &r->store;
	uint64_t pos = store_mirror_rev(r->mirror);
	struct store_update *u = util_alloc(1, sizeof(*u));
	uint32_t i;

	u->rev = store_pos(m->era, m->rev);
	u->is_full = is_listing || store_pos_era(pos) != m->era;
	u->pairs = util_alloc(CHANGES_MAX, sizeof(u->pairs[0]));
	for (i = 0; u->is_full && i < KEYS; i++) {
		if (m->keys[i].value)
			add_pair(u, m, i);
	}
	for (i = 0; !u->is_full && i < m->change_count; i++) {
		const struct model_change *c = &m->changes[i];

		/* Only the last change of a key is known by its value. */
		if (c->rev > store_pos_rev(pos) &&
		    m->keys[c->key].rev == c->rev)
			add_pair(u, m, c->key);
	}
	return u;
}

static void ignore_pair(void *ctx, const struct kv_pair *p)
{
}

static void deliver(struct run *r, uint32_t i)
{
	store_mirror_apply(r->mirror, r->answers[i], ignore_pair, NULL);
	store_update_free(r->answers[i]);
	r->answers[i] = r->answers[--r->answer_count];
}

static void step(struct run *r)
{
	uint32_t what = below(r, 100);

	if (what < 35)
		write_key(r, 0);
	else if (what < 45)
		write_key(r, 1);
	else if (what < 50)
		r->copy = r->store;
	else if (what < 53)
		restore(r);
	else if (what < 73 && r->answer_count < ANSWERS_MAX)
		r->answers[r->answer_count++] = make_answer(r, what < 58);
	else if (what < 97 && r->answer_count)
		deliver(r, below(r, r->answer_count));
	else if (what >= 97)
		store_mirror_drop_missing(r->mirror, ignore_pair, NULL);
}

/* All keys of the mirror, in the order of the model's. */
static void check_equal(struct run *r, uint32_t number)
{
	struct store_update *u = store_mirror_changes_since(r->mirror, 0);
	uint32_t values[KEYS] = { 0 };
	uint32_t i;

	for (i = 0; i < u->pair_count; i++)
		values[u->pairs[i].key[0] - 'a'] =
			(uint32_t)strtoul(u->pairs[i].value, NULL, 10);
	for (i = 0; i < KEYS; i++) {
		if (values[i] != r->store.keys[i].value)
			g_error("run %u: key %c is %u, in the store %u", number,
				'a' + (int)i, values[i],
				r->store.keys[i].value);
	}
	store_update_free(u);
}

static void run_once(uint32_t number)
{
	struct run r = { .rand = g_rand_new_with_seed(SEED + number),
			 .mirror = store_mirror_new() };
	uint32_t i;

	r.store.era = below(&r, 2);
	r.store.rev = 1;
	r.copy = r.store;
	for (i = 0; i < STEPS; i++)
		step(&r);
	while (r.answer_count)
		deliver(&r, below(&r, r.answer_count));
	/* A host whose state is of an earlier era lists, others watch. */
	r.answers[r.answer_count++] = make_answer(&r, 0);
	deliver(&r, 0);
	store_mirror_drop_missing(r.mirror, ignore_pair, NULL);
	check_equal(&r, number);
	store_mirror_free(r.mirror);
	g_rand_free(r.rand);
}

static void test_quiet(void)
{
	uint32_t i;

	for (i = 0; i < RUNS; i++)
		run_once(i);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/mirror/quiet", test_quiet);
	return g_test_run();
}
