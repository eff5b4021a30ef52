/* Simulated store of the claims of lookups: lost answers and outages. */
#include <stdio.h>
#include <string.h>

#include "filter/pipeline.h"
#include "sim_impl.h"

/* Time to the store, and back. */
#define STORE_US 2000
/* Answers lost with the fault SIM_STORE. */
#define LOSS_PERMILLE 150
#define RECORD_ATTEMPTS_MAX 5

/* A claim as the store has it. */
struct sim_claim {
	struct once_claim doc;
	uint64_t version;
};

/* A claim, or the recording of an outcome, that a host has in progress. */
struct call {
	struct sim_host *host;
	uint32_t incarnation;
	uint64_t req_no;
	char key[2 * NAME_BYTES];
	struct once once;
	/* Document to write. */
	struct once_claim doc;
	/* 1 when an outcome is recorded, 0 for a claim. */
	int is_record;
	uint32_t attempts;
	/* Step in progress, and its result on the way back to the host. */
	enum once_step step;
	enum err_code code;
	uint64_t version;
	struct once_claim read;
};

static void claim_step(struct sim *s, struct call *c, enum once_step step);

/* Key below which the store keeps a copy of a granted claim for its host. */
static char *held_key(const struct sim_host *h, const char *key)
{
	return g_strdup_printf("held/%s/%u/%s", h->name, h->incarnation, key);
}

static void write_claim(struct sim *s, struct call *c)
{
	struct sim_claim *stored = g_hash_table_lookup(s->store, c->key);
	uint64_t version = stored ? stored->version : 0;

	if (s->store_down) {
		c->code = ERR_STORE_DOWN;
		return;
	}
	if (version != c->once.version && s->o.broken != SIM_BROKEN_CLAIM) {
		c->code = ERR_STORE_CONFLICT;
		c->version = version;
		return;
	}
	if (!stored) {
		stored = util_alloc(1, sizeof(*stored));
		g_hash_table_insert(s->store, g_strdup(c->key), stored);
	}
	stored->doc = c->doc;
	stored->version = ++s->store_version;
	c->version = stored->version;
	c->code = ERR_OK;
	if (sim_has(s, SIM_STORE) && sim_chance(s, LOSS_PERMILLE))
		c->code = ERR_STORE_UNKNOWN;
}

static void read_claim(struct sim *s, struct call *c)
{
	const struct sim_claim *stored = g_hash_table_lookup(s->store, c->key);

	c->code = ERR_OK;
	if (s->store_down)
		c->code = ERR_STORE_DOWN;
	else if (!stored)
		c->code = ERR_STORE_NOT_FOUND;
	else if (sim_has(s, SIM_STORE) && sim_chance(s, LOSS_PERMILLE))
		c->code = ERR_STORE_UNKNOWN;
	if (c->code != ERR_OK)
		return;
	c->version = stored->version;
	c->read = stored->doc;
}

static void schedule_record(struct sim *s, void *arg);

static void claim_end(struct sim *s, struct call *c)
{
	struct sim_host *h = c->host;
	int granted = c->once.result == CLAIM_GRANTED;
	char *held = held_key(h, c->key);

	if (granted) {
		struct sim_claim *own_claim = util_alloc(1, sizeof(*own_claim));

		own_claim->doc = c->doc;
		own_claim->version = c->once.version;
		g_hash_table_insert(s->store, held, own_claim);
		held = NULL;
	}
	g_free(held);
	if (!pipeline_on_claim(h->path, c->req_no, c->once.result, s->now_us) &&
	    granted) {
		c->is_record = 1;
		c->doc.outcome = OUTCOME_NOT_RUN;
		schedule_record(s, c);
		return;
	}
	free(c);
}

static void on_claim_result(struct sim *s, void *arg)
{
	struct call *c = arg;
	enum once_step step;

	/* The host that asked has died; its claim stays in the store. */
	if (!c->host->alive || c->host->incarnation != c->incarnation) {
		free(c);
		return;
	}
	if (c->step == ONCE_WRITE)
		step = once_on_write(&c->once, c->code, c->version);
	else
		step = once_on_read(&c->once, c->code, c->version, &c->read);
	claim_step(s, c, step);
}

static void claim_at_store(struct sim *s, void *arg)
{
	struct call *c = arg;

	if (c->step == ONCE_WRITE)
		write_claim(s, c);
	else
		read_claim(s, c);
	sim_after(s, STORE_US, on_claim_result, c);
}

static void claim_step(struct sim *s, struct call *c, enum once_step step)
{
	c->step = step;
	if (step == ONCE_END)
		claim_end(s, c);
	else
		sim_after(s, STORE_US, claim_at_store, c);
}

static struct call *call_new(struct sim_host *h, const char *customer,
			     const char *request_id)
{
	struct call *c = util_alloc(1, sizeof(*c));

	c->host = h;
	c->incarnation = h->incarnation;
	snprintf(c->key, sizeof(c->key), "%s/%s", customer, request_id);
	return c;
}

void sim_claim(void *ctx, uint64_t req_no, const char *customer,
	       const char *request_id)
{
	struct sim_host *h = ctx;
	struct call *c = call_new(h, customer, request_id);
	char token[NAME_BYTES];

	snprintf(token, sizeof(token), "%.8s-%u-%u", h->name, h->incarnation,
		 (uint32_t)req_no);
	c->req_no = req_no;
	once_init(&c->once, token);
	util_copy_str(c->doc.token, sizeof(c->doc.token), token);
	c->doc.outcome = OUTCOME_UNKNOWN;
	claim_step(h->sim, c, ONCE_WRITE);
}

static void record_at_store(struct sim *s, void *arg)
{
	struct call *c = arg;

	write_claim(s, c);
	if (c->code != ERR_OK && c->code != ERR_STORE_CONFLICT &&
	    c->host->alive && c->host->incarnation == c->incarnation)
		schedule_record(s, c);
	else
		free(c);
}

static void schedule_record(struct sim *s, void *arg)
{
	struct call *c = arg;

	if (c->attempts++ == RECORD_ATTEMPTS_MAX) {
		free(c);
		return;
	}
	sim_after(s, STORE_US, record_at_store, c);
}

void sim_record(void *ctx, const char *customer, const char *request_id,
		enum outcome outcome)
{
	struct sim_host *h = ctx;
	struct call *c = call_new(h, customer, request_id);
	g_autofree char *held = held_key(h, c->key);
	const struct sim_claim *own_claim =
		g_hash_table_lookup(h->sim->store, held);

	if (!own_claim || !h->alive || outcome == OUTCOME_UNKNOWN) {
		g_hash_table_remove(h->sim->store, held);
		free(c);
		return;
	}
	c->once.version = own_claim->version;
	c->doc = own_claim->doc;
	c->doc.outcome = outcome;
	g_hash_table_remove(h->sim->store, held);
	schedule_record(h->sim, c);
}
