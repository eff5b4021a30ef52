/*
 * Random runs of several hosts' copies of the store's keys beside a plain model of
 * the store. The store takes writes and deletions, comes back from copies of
 * itself, and gives out listings whose pages are of different times. The hosts
 * list, watch, ask each other for changes and restart; requests and answers arrive
 * late and in any order. Guards against a copy that stands at the store's position
 * and differs from it, such as one that was never told of a deletion because the
 * host that it follows has only listed what was left.
 *
 * prop_mirror [RUNS [FIRST_SEED]] plays more runs than make check does.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "controller/store_mirror.h"
#include "model/store_pos.h"

#define RUNS_DEFAULT 20000
#define STEPS 160
#define KEYS 6
#define HOSTS 3
#define MESSAGES_MAX 12
#define CHANGES_MAX (STEPS + 1)
/* Source of a message that is the store and not a host. */
#define STORE HOSTS

struct model_key {
	/* 0: the key does not exist. */
	uint32_t value;
	uint64_t rev;
};

struct model_change {
	uint32_t key;
	struct model_key to;
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

/* A call of a host and, once the source has handled it, its answer. */
struct message {
	uint32_t host;
	uint32_t source;
	/* Position from which changes are asked for; 0: all keys. */
	uint64_t pos;
	struct store_update *answer;
};

struct run {
	GRand *rand;
	uint32_t seed;
	uint32_t step;
	struct model store;
	struct model copy;
	struct store_mirror *mirrors[HOSTS];
	struct message messages[MESSAGES_MAX];
	uint32_t message_count;
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
	m->changes[m->change_count++] =
		(struct model_change){ key, m->keys[key] };
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

static void add_pair(struct store_update *u, uint64_t era, uint32_t key,
		     const struct model_key *k)
{
	struct kv_pair *p = &u->pairs[u->pair_count++];

	p->key[0] = (char)('a' + key);
	p->rev = store_pos(era, k->rev);
	if (!k->value)
		return;
	p->value = g_strdup_printf("%u", k->value);
	p->value_bytes = (uint32_t)strlen(p->value);
}

/* Adds the keys from @from up to @to that exist: a page of a listing. */
static void add_page(struct store_update *u, const struct model *m,
		     uint32_t from, uint32_t to)
{
	uint32_t i;

	for (i = from; i < to; i++) {
		if (m->keys[i].value)
			add_pair(u, m->era, i, &m->keys[i]);
	}
}

/*
 * A listing, or the changes after position @pos if the store has them; these
 * may end before the latest one.
 */
static struct store_update *answer_of_store(struct run *r, uint64_t pos)
{
	const struct model *m = &r->store;
	struct store_update *u = util_alloc(1, sizeof(*u));
	uint32_t page_end = below(r, 4) ? KEYS : below(r, KEYS);
	uint32_t writes = page_end == KEYS ? 0 : below(r, 3);
	uint32_t most = below(r, 3) ? CHANGES_MAX : 1 + below(r, 4);
	uint32_t i;

	u->rev = store_pos(m->era, m->rev);
	u->is_full = !pos || store_pos_era(pos) != m->era;
	u->pairs = util_alloc(CHANGES_MAX, sizeof(u->pairs[0]));
	if (u->is_full) {
		add_page(u, m, 0, page_end);
		for (i = 0; i < writes; i++)
			write_key(r, below(r, 2) == 0);
		add_page(u, m, page_end, KEYS);
		return u;
	}
	for (i = 0; i < m->change_count; i++) {
		const struct model_change *c = &m->changes[i];

		if (c->to.rev <= store_pos_rev(pos))
			continue;
		if (u->pair_count == most) {
			u->rev = u->pairs[most - 1].rev;
			break;
		}
		add_pair(u, m->era, c->key, &c->to);
	}
	return u;
}

static void ignore_pair(void *ctx, const struct kv_pair *p)
{
}

/* Calls the store or another host for changes, or lists the store. */
static void call_source(struct run *r)
{
	struct message *c = &r->messages[r->message_count++];

	c->host = below(r, HOSTS);
	c->source = below(r, HOSTS + 1);
	if (c->source == c->host)
		c->source = STORE;
	c->pos = store_mirror_rev(r->mirrors[c->host]);
	if (c->source == STORE && !below(r, 4))
		c->pos = 0;
	c->answer = NULL;
}

static void forget_message(struct run *r, uint32_t i)
{
	store_update_free(r->messages[i].answer);
	r->messages[i] = r->messages[--r->message_count];
}

/*
 * Moves a message on: a call to its source, an answer to the host that called. A
 * host takes no changes from another one that is of an earlier era or has no
 * state, as the control duty does (is_of_era()).
 */
static void deliver(struct run *r, uint32_t i)
{
	struct message *c = &r->messages[i];
	const struct store_mirror *source =
		c->source == STORE ? NULL : r->mirrors[c->source];

	if (!c->answer && !source)
		c->answer = answer_of_store(r, c->pos);
	else if (!c->answer && store_mirror_rev(source))
		c->answer = store_mirror_changes_since(source, c->pos);
	else if (!c->answer)
		forget_message(r, i);
	else {
		store_mirror_apply(r->mirrors[c->host], c->answer, ignore_pair,
				   NULL);
		forget_message(r, i);
	}
}

/* The host starts again without any state; answers to it are lost. */
static void restart(struct run *r)
{
	uint32_t host = below(r, HOSTS);
	uint32_t i;

	store_mirror_free(r->mirrors[host]);
	r->mirrors[host] = store_mirror_new();
	for (i = r->message_count; i > 0; i--) {
		if (r->messages[i - 1].host == host ||
		    r->messages[i - 1].source == host)
			forget_message(r, i - 1);
	}
}

/* Ends the run unless the copy of @host has just the keys of the store. */
static void check_equal(struct run *r, uint32_t host)
{
	struct store_update *u =
		store_mirror_changes_since(r->mirrors[host], 0);
	uint32_t values[KEYS] = { 0 };
	uint32_t i;

	for (i = 0; i < u->pair_count; i++)
		values[u->pairs[i].key[0] - 'a'] =
			(uint32_t)strtoul(u->pairs[i].value, NULL, 10);
	for (i = 0; i < KEYS; i++) {
		if (values[i] != r->store.keys[i].value)
			g_error("seed %u, step %u: key %c is %u at host %u, "
				"%u in the store",
				r->seed, r->step, 'a' + (int)i, values[i], host,
				r->store.keys[i].value);
	}
	store_update_free(u);
}

static void check_current(struct run *r)
{
	uint64_t pos = store_pos(r->store.era, r->store.rev);
	uint32_t i;

	for (i = 0; i < HOSTS; i++) {
		if (store_mirror_rev(r->mirrors[i]) == pos &&
		    !store_mirror_missing_count(r->mirrors[i]))
			check_equal(r, i);
	}
}

static void step(struct run *r)
{
	uint32_t what = below(r, 100);

	if (what < 25)
		write_key(r, 0);
	else if (what < 36)
		write_key(r, 1);
	else if (what < 40)
		r->copy = r->store;
	else if (what < 42)
		restore(r);
	else if (what < 60 && r->message_count < MESSAGES_MAX)
		call_source(r);
	else if (what < 95 && r->message_count)
		deliver(r, below(r, r->message_count));
	else if (what >= 97)
		store_mirror_drop_missing(r->mirrors[below(r, HOSTS)], NULL,
					  ignore_pair, NULL);
	else if (what >= 95)
		restart(r);
	check_current(r);
}

/* Each host watches the store until it is current; all are then equal to it. */
static void settle(struct run *r)
{
	uint64_t pos;
	uint32_t i;

	while (r->message_count)
		deliver(r, below(r, r->message_count));
	for (i = 0; i < HOSTS; i++) {
		do {
			struct store_update *u = answer_of_store(
				r, store_mirror_rev(r->mirrors[i]));

			store_mirror_apply(r->mirrors[i], u, ignore_pair, NULL);
			store_update_free(u);
			pos = store_pos(r->store.era, r->store.rev);
		} while (store_mirror_rev(r->mirrors[i]) < pos);
		store_mirror_drop_missing(r->mirrors[i], NULL, ignore_pair,
					  NULL);
		check_equal(r, i);
	}
}

static void run_once(uint32_t seed)
{
	struct run r = { .rand = g_rand_new_with_seed(seed), .seed = seed };
	uint32_t i;

	for (i = 0; i < HOSTS; i++)
		r.mirrors[i] = store_mirror_new();
	r.store.era = below(&r, 2);
	r.store.rev = 1;
	r.copy = r.store;
	for (r.step = 0; r.step < STEPS; r.step++)
		step(&r);
	settle(&r);
	for (i = 0; i < HOSTS; i++)
		store_mirror_free(r.mirrors[i]);
	g_rand_free(r.rand);
}

static uint32_t runs = RUNS_DEFAULT;
static uint32_t first_seed = 1;

static void test_copies(void)
{
	uint32_t i;

	for (i = 0; i < runs; i++)
		run_once(first_seed + i);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (argc > 1)
		runs = (uint32_t)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		first_seed = (uint32_t)strtoul(argv[2], NULL, 10);
	g_test_add_func("/mirror/copies", test_copies);
	return g_test_run();
}
