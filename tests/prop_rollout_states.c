/*
 * Complete exploration of a small model of rollout leadership. Guards against
 * two hosts that act as leader at once, a late write that replaces the write of
 * a later leader, and a share for a version that was found bad.
 *
 * The model has two leaders that run the controller's own rules (leadership.c,
 * rollout_rules.c), one store and one further host. Every order of store calls,
 * answers and adoptions is tried, with up to two faults in one run: a pause of
 * leader 0, an outage of the store, a lost answer, a version found bad.
 *
 * Time advances in steps of STEP_S. A write may reach the store at any later
 * time, also after the end of its leader's lease.
 */
#include <apr_general.h>
#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "controller/rollout.h"

#define LEADERS 2
/* Enough for a lease to end, the next leader to write, and a late write. */
#define SECONDS_MAX 8
#define STEP_S 2
/* Bounds of one run. */
#define LEASES_MAX 5
#define WRITES_MAX 3
#define FAULTS_MAX 2
/* Slots of the hash table of visited states; a power of two. */
#define SEEN_SLOTS (1U << 25)

enum call_kind { CALL_NONE, CALL_GRANT, CALL_CLAIM, CALL_RENEW, CALL_WRITE };

/* The rule that a variant of the model leaves out. */
enum defect {
	DEFECT_NONE,
	/* A leader acts although by its own clock its lease has ended. */
	DEFECT_CLOCK,
	/* The store takes a write whatever revision it is based on. */
	DEFECT_CAS,
	/* Hosts adopt a revision whatever its number and fencing number are. */
	DEFECT_FENCE,
	/* A version that is marked as bad gets the share in the item. */
	DEFECT_STICKY,
};

/* The rollout's item: fields as in struct rollout_item, and its revision. */
struct doc {
	uint8_t rev;
	uint8_t fence;
	uint16_t share;
	uint8_t state;
	/* Explicit padding, because states are compared byte by byte. */
	uint8_t pad;
};

/* Store call that is under way. */
struct op {
	/* enum call_kind; CALL_NONE: a free slot. */
	uint8_t kind;
	/* 1 once the call reached the store and its answer is under way. */
	uint8_t answered;
	/* Number that leadership gave the call. */
	uint8_t call;
	uint8_t lease;
	/* Write: the revision that it is based on. */
	uint8_t if_rev;
	/* Result as index into the codes of deliver(). */
	uint8_t code;
	/* Claim: the version of the key. */
	uint8_t version;
	uint8_t pad;
	/* Write: the new item. */
	struct doc doc;
};

struct leader {
	struct leadership lead;
	/* Item that this host has adopted. */
	struct doc seen;
	struct op ops[2];
	uint8_t paused;
	/* 1 once this host has marked the version as bad. */
	uint8_t bad;
	uint8_t pad[4];
};

/* State of the model. */
struct world {
	uint8_t now_s;
	/* 1 while the store is down. */
	uint8_t down;
	/* Number of faults so far, at most FAULTS_MAX, one of each kind. */
	uint8_t faults;
	/*
	 * 1 once the fault has been used: the store was down, the further host
	 * found the version bad, leader 0 was paused, an answer of the store
	 * was lost (the call ends with ERR_STORE_UNKNOWN).
	 */
	uint8_t had_outage;
	uint8_t had_bad_mark;
	uint8_t had_pause;
	uint8_t had_lost_answer;
	/* Leases so far, numbered from 1, and their ends; 0: ended. */
	uint8_t leases;
	uint8_t lease_end_s[LEASES_MAX + 1];
	/* Lease of the leader's key; 0: the key was never claimed. */
	uint8_t key_lease;
	uint8_t revision;
	uint8_t writes;
	/* Item in the store. */
	struct doc doc;
	/*
	 * The further host: the item that it has adopted, the highest fencing
	 * number that it has seen, and 1 once it has marked the version as bad.
	 */
	struct doc host;
	uint8_t host_fence;
	uint8_t host_bad;
	struct leader leaders[LEADERS];
};

struct search {
	enum defect defect;
	/* Hashes of the visited states; 0 is a free slot. */
	uint64_t *seen;
	uint32_t seen_count;
	/* States whose next states have not been tried yet. */
	GArray *open;
	/* How often the exploration reached situations that it has to reach. */
	uint32_t takeovers;
	uint32_t refused_writes;
	uint32_t rollbacks;
	/* First violation found, or NULL. */
	const char *violation;
};

/* Leader for which a callback of leadership_tick() runs. */
struct actor {
	struct world *w;
	uint32_t index;
};

static int64_t now_us(const struct world *w)
{
	return (int64_t)w->now_s * US_PER_S;
}

static struct op *free_op(struct leader *l)
{
	uint32_t i;

	for (i = 0; i < countof(l->ops); i++) {
		if (l->ops[i].kind == CALL_NONE)
			return &l->ops[i];
	}
	return NULL;
}

static void start_op(struct actor *a, enum call_kind kind, uint32_t call,
		     uint64_t lease)
{
	struct op *op = free_op(&a->w->leaders[a->index]);

	/* At most one lease call and one write are under way. */
	g_assert_nonnull(op);
	*op = (struct op){ .kind = (uint8_t)kind,
			   .call = (uint8_t)call,
			   .lease = (uint8_t)lease };
}

static void on_grant(void *ctx, uint32_t call, uint32_t ttl_ms)
{
	start_op(ctx, CALL_GRANT, call, 0);
}

static void on_claim(void *ctx, uint32_t call, uint64_t lease)
{
	start_op(ctx, CALL_CLAIM, call, lease);
}

static void on_renew(void *ctx, uint32_t call, uint64_t lease)
{
	start_op(ctx, CALL_RENEW, call, lease);
}

/* A revocation may be lost, so in the model it has no effect. */
static void on_revoke(void *ctx, uint64_t lease)
{
}

static const struct leadership_ops lead_ops = { on_grant, on_claim, on_renew,
						on_revoke };

static int lease_live(const struct world *w, uint8_t lease)
{
	return lease && w->lease_end_s[lease] > w->now_s;
}

static struct rollout_item item_from_doc(const struct doc *d)
{
	struct rollout_item item = { .share_permille = d->share,
				     .state = (enum rollout_state)d->state,
				     .fence = d->fence };

	return item;
}

static struct doc doc_from_item(const struct rollout_item *item)
{
	return (struct doc){ .fence = (uint8_t)item->fence,
			     .share = (uint16_t)item->share_permille,
			     .state = (uint8_t)item->state };
}

static int may_act(const struct search *s, const struct world *w,
		   const struct leader *l)
{
	if (s->defect == DEFECT_CLOCK)
		return l->lead.phase == LEADERSHIP_HOLDING;
	return leadership_may_act(&l->lead, now_us(w));
}

static int has_op(const struct leader *l, int write)
{
	uint32_t i;

	for (i = 0; i < countof(l->ops); i++) {
		if (l->ops[i].kind != CALL_NONE &&
		    (l->ops[i].kind == CALL_WRITE) == write)
			return 1;
	}
	return 0;
}

static void write_next(const struct search *s, struct world *w,
		       struct leader *l)
{
	struct rollout_item item = item_from_doc(&l->seen);
	struct rollout_item next;
	struct op *op;

	if (!may_act(s, w, l) || has_op(l, 1) || w->writes >= WRITES_MAX)
		return;
	if (!rollout_next_item_internal(&item, l->lead.fence, l->bad, 1, &next))
		return;
	op = free_op(l);
	g_assert_nonnull(op);
	*op = (struct op){ .kind = CALL_WRITE,
			   .if_rev = l->seen.rev,
			   .doc = doc_from_item(&next) };
}

static void apply_lease(struct world *w, struct op *op)
{
	uint8_t end_s = (uint8_t)(w->now_s + LEADERSHIP_TTL_MS / MS_PER_S);

	op->code = 0;
	if (op->kind == CALL_GRANT) {
		op->lease = ++w->leases;
		w->lease_end_s[op->lease] = end_s;
	} else if (!lease_live(w, op->lease) ||
		   (op->kind == CALL_CLAIM && lease_live(w, w->key_lease))) {
		op->code = 2;
	} else if (op->kind == CALL_RENEW) {
		w->lease_end_s[op->lease] = end_s;
	} else {
		w->key_lease = op->lease;
		op->version = ++w->revision;
	}
}

/* Offers the item to the further host, which follows the controller's rules. */
static void host_adopts(struct search *s, struct world *w, const struct doc *d)
{
	struct rollout_item item = item_from_doc(d);
	uint32_t share;

	if (d->rev <= w->host.rev && s->defect != DEFECT_FENCE)
		return;
	if (!rollout_fence_ok_internal(w->host_fence, d->fence) &&
	    s->defect != DEFECT_FENCE)
		return;
	if (d->fence < w->host_fence)
		s->violation = "the host adopted a lower fencing number";
	w->host = *d;
	w->host_fence = MAX(w->host_fence, d->fence);
	w->host_bad |= d->state == ROLLOUT_ROLLED_BACK;
	share = rollout_share_internal(
		&item, s->defect == DEFECT_STICKY ? 0 : w->host_bad);
	if (w->host_bad && share > 0)
		s->violation = "a bad version got a share";
}

static void apply_write(struct search *s, struct world *w, struct op *op)
{
	struct doc before;

	if (op->if_rev != w->doc.rev && s->defect != DEFECT_CAS) {
		op->code = 2;
		s->refused_writes += op->doc.fence < w->doc.fence;
		return;
	}
	s->takeovers += w->doc.fence > 0 && op->doc.fence > w->doc.fence;
	s->rollbacks += op->doc.state == ROLLOUT_ROLLED_BACK;
	if (op->doc.fence < w->doc.fence)
		s->violation = "a late write replaced a later leader's write";
	if (w->doc.state == ROLLOUT_ROLLED_BACK)
		s->violation = "a write followed the rollback";
	before = w->doc;
	w->doc = op->doc;
	w->doc.rev = ++w->revision;
	w->writes++;
	host_adopts(s, w, &w->doc);
	/* A peer that is behind offers the revision before. */
	host_adopts(s, w, &before);
}

/* The call reaches the store and gets its answer. */
static void apply_op(struct search *s, struct world *w, struct op *op)
{
	op->answered = 1;
	if (w->down)
		op->code = 1;
	else if (op->kind == CALL_WRITE)
		apply_write(s, w, op);
	else
		apply_lease(w, op);
}

/*
 * Runs the 100 ms tick of leader @i unless it is paused. Its grants and
 * renewals reach the store at once, so that the lease ends as early as it can;
 * their answers, and all claims and writes, take any time.
 */
static void run_leader(struct search *s, struct world *w, uint32_t i)
{
	struct leader *l = &w->leaders[i];
	struct actor a = { w, i };
	uint32_t k;

	if (l->paused)
		return;
	if (!(s->defect == DEFECT_CLOCK &&
	      l->lead.phase == LEADERSHIP_HOLDING) &&
	    !has_op(l, 0) && w->leases < LEASES_MAX)
		leadership_tick(&l->lead, now_us(w), 1, 0, &lead_ops, &a);
	write_next(s, w, l);
	for (k = 0; k < countof(l->ops); k++) {
		struct op *op = &l->ops[k];

		if (!op->answered &&
		    (op->kind == CALL_GRANT || op->kind == CALL_RENEW))
			apply_op(s, w, op);
	}
}

/* The answer to the call in @slot reaches leader @i. */
static void deliver(struct world *w, uint32_t i, struct op *slot)
{
	static const enum err_code codes[] = { ERR_OK, ERR_STORE_UNKNOWN,
					       ERR_STORE_NOT_FOUND };
	struct leader *l = &w->leaders[i];
	struct actor a = { w, i };
	struct op op = *slot;

	memset(slot, 0, sizeof(*slot));
	if (op.kind == CALL_GRANT)
		leadership_grant_done(&l->lead, now_us(w), op.call,
				      codes[op.code], op.lease, &lead_ops, &a);
	else if (op.kind == CALL_CLAIM)
		leadership_claim_done(&l->lead, now_us(w), op.call,
				      codes[op.code], op.version, l->seen.fence,
				      &lead_ops, &a);
	else if (op.kind == CALL_RENEW)
		leadership_renew_done(&l->lead, now_us(w), op.call,
				      codes[op.code]);
}

static void check(struct search *s, const struct world *w)
{
	uint32_t acting = 0;
	uint32_t i;

	for (i = 0; i < LEADERS; i++)
		acting += (uint32_t)may_act(s, w, &w->leaders[i]);
	if (acting > 1)
		s->violation = "two leaders act at once";
}

/*
 * Clears values without further effect, so that equal states have equal bytes.
 */
static void normalise(struct world *w)
{
	uint32_t i;
	uint32_t k;

	for (i = 1; i <= LEASES_MAX; i++) {
		if (w->lease_end_s[i] <= w->now_s)
			w->lease_end_s[i] = 0;
	}
	for (i = 0; i < LEADERS; i++) {
		struct leader *l = &w->leaders[i];

		for (k = 0; k < countof(l->ops); k++)
			l->ops[k].call = l->ops[k].call == l->lead.call;
		l->lead.call = 1;
		if (l->lead.next_call_us <= now_us(w))
			l->lead.next_call_us = 0;
		if (l->lead.phase == LEADERSHIP_IDLE)
			l->lead.sent_us = l->lead.valid_until_us = 0;
	}
}

static int first_visit(struct search *s, const struct world *w)
{
	uint64_t hash = XXH64(w, sizeof(*w), 0) | 1;
	uint32_t at = (uint32_t)hash & (SEEN_SLOTS - 1);

	for (; s->seen[at]; at = (at + 1) & (SEEN_SLOTS - 1)) {
		if (s->seen[at] == hash)
			return 0;
	}
	s->seen[at] = hash;
	s->seen_count++;
	g_assert_cmpuint(s->seen_count, <, SEEN_SLOTS / 2);
	return 1;
}

static void leader_adopts(struct leader *l, const struct doc *d)
{
	l->seen = *d;
	l->bad |= d->state == ROLLOUT_ROLLED_BACK;
}

/*
 * Completes a state and keeps it for exploration if it is new. Leader 1 adopts
 * an item at once; leader 0 does so at any later time.
 */
static void push(struct search *s, struct world *w)
{
	uint32_t i;

	if (w->leaders[1].seen.rev < w->doc.rev)
		leader_adopts(&w->leaders[1], &w->doc);

	for (i = 0; i < LEADERS; i++)
		run_leader(s, w, i);
	normalise(w);
	check(s, w);
	if (first_visit(s, w))
		g_array_append_val(s->open, *w);
}

/* Counts a fault of the kind of @used; returns 0 if no more may happen. */
static int use_fault(struct world *w, uint8_t *used)
{
	if (*used || w->faults >= FAULTS_MAX)
		return 0;
	*used = 1;
	w->faults++;
	return 1;
}

static void try_leader(struct search *s, const struct world *from, uint32_t i)
{
	struct world w = *from;
	struct leader *l = &w.leaders[i];
	uint32_t k;

	if (l->paused || (i == 0 && use_fault(&w, &w.had_pause))) {
		l->paused = !l->paused;
		push(s, &w);
	}
	w = *from;
	if (!l->paused && l->seen.rev < w.doc.rev) {
		leader_adopts(l, &w.doc);
		push(s, &w);
	}
	for (k = 0; k < countof(l->ops); k++) {
		w = *from;
		if (l->ops[k].kind == CALL_NONE)
			continue;
		if (!l->ops[k].answered) {
			apply_op(s, &w, &l->ops[k]);
			push(s, &w);
		} else if (!l->paused) {
			deliver(&w, i, &l->ops[k]);
			push(s, &w);
		}
		w = *from;
		if (l->ops[k].answered && use_fault(&w, &w.had_lost_answer)) {
			l->ops[k].code = 1;
			push(s, &w);
		}
	}
}

static void try_rest(struct search *s, const struct world *from)
{
	struct world w = *from;
	uint32_t i;

	if (w.now_s < SECONDS_MAX) {
		w.now_s += STEP_S;
		push(s, &w);
	}
	w = *from;
	if (w.down || use_fault(&w, &w.had_outage)) {
		w.down = !w.down;
		push(s, &w);
	}
	/*
	 * The further host finds the version bad; leader 1 is told of it or
	 * not.
	 */
	for (i = 0; i < 2; i++) {
		w = *from;
		if (!use_fault(&w, &w.had_bad_mark))
			return;
		w.host_bad = 1;
		w.leaders[1].bad |= (uint8_t)i;
		push(s, &w);
	}
}

static uint32_t explore(struct search *s)
{
	struct world w;
	uint32_t i;

	memset(&w, 0, sizeof(w));
	w.doc = (struct doc){ .rev = 1, .share = 10 };
	w.revision = 1;
	w.host = w.doc;
	for (i = 0; i < LEADERS; i++)
		w.leaders[i].seen = w.doc;
	s->seen = g_new0(uint64_t, SEEN_SLOTS);
	s->open = g_array_new(FALSE, FALSE, sizeof(w));
	push(s, &w);
	while (!s->violation && s->open->len > 0) {
		w = g_array_index(s->open, struct world, s->open->len - 1);
		g_array_set_size(s->open, s->open->len - 1);
		for (i = 0; i < LEADERS; i++)
			try_leader(s, &w, i);
		try_rest(s, &w);
	}
	g_free(s->seen);
	g_array_free(s->open, TRUE);
	return s->seen_count;
}

/*
 * Guards against a second leader, a late write that takes effect, and a share
 * for a bad version.
 */
static void test_complete(void)
{
	struct search s = { .defect = DEFECT_NONE };
	uint32_t states = explore(&s);

	g_test_message("%u states explored; %u changes of leader, %u late "
		       "writes refused, %u rollbacks",
		       states, s.takeovers, s.refused_writes, s.rollbacks);
	g_assert_cmpstr(s.violation, ==, NULL);
	g_assert_cmpuint(s.takeovers, >, 0);
	g_assert_cmpuint(s.refused_writes, >, 0);
	g_assert_cmpuint(s.rollbacks, >, 0);
}

/*
 * Guards against an exploration that does not find out that a rule is missing.
 */
static void test_defect(gconstpointer data)
{
	struct search s = { .defect = (enum defect)GPOINTER_TO_INT(data) };
	uint32_t states = explore(&s);

	g_test_message("%s, after %u states", s.violation, states);
	g_assert_nonnull(s.violation);
}

int main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rollout/states/complete", test_complete);
	g_test_add_data_func("/rollout/states/defect/clock",
			     GINT_TO_POINTER(DEFECT_CLOCK), test_defect);
	g_test_add_data_func("/rollout/states/defect/cas",
			     GINT_TO_POINTER(DEFECT_CAS), test_defect);
	g_test_add_data_func("/rollout/states/defect/fence",
			     GINT_TO_POINTER(DEFECT_FENCE), test_defect);
	g_test_add_data_func("/rollout/states/defect/sticky",
			     GINT_TO_POINTER(DEFECT_STICKY), test_defect);
	return g_test_run();
}
