/*
 * Case 6: another writer leaves one entry among those of the searchers whose
 * key ends with a line break. Checks that searchers run only what callers sent.
 */
#include "rig-2.h"

#include <stdio.h>
#include <string.h>

#define CALLERS 8
#define REQUESTS_EACH 12
#define REQUESTS (CALLERS * REQUESTS_EACH)
#define FOLDER "review/6"

struct sent {
	char id[64];
	char path[64];
	size_t body_bytes;
	uint64_t body_hash;
};

static struct sent sent[REQUESTS];

static size_t make_body(char *out, size_t size, int n)
{
	return (size_t)snprintf(out, size, "record %d: renewed, paid", n);
}

static void send_request(struct caller *c, int n)
{
	struct sent *s = &sent[n];
	char text[1024];
	char body[512];
	struct answer a;
	int head;

	s->body_bytes = make_body(body, sizeof(body), n);
	s->body_hash = hash_bytes(body, s->body_bytes);
	snprintf(s->id, sizeof(s->id), "caller%d", n);
	snprintf(s->path, sizeof(s->path), "/files/put-%d", n);
	head = request_head(text, sizeof(text), "POST", s->path, s->id, 4000,
			    s->body_bytes);
	memcpy(text + head, body, s->body_bytes);
	if (c->fd < 0 && !caller_connect(c))
		cannot_run("no connection");
	caller_send(c, text, (size_t)head + s->body_bytes);
	a = caller_read(c, 5000);
	record("sent POST %s id %s, %zu bytes of body: answer %d", s->path,
	       s->id, s->body_bytes, a.status);
	if (!a.status || a.says_close)
		caller_close(c);
}

/* One caller, on a kept connection. */
static void *run_caller(void *arg)
{
	struct caller c = { .fd = -1 };
	int first = *(int *)arg * REQUESTS_EACH;
	int i;

	for (i = first; i < first + REQUESTS_EACH; i++) {
		send_request(&c, i);
		rig_sleep(20);
	}
	return NULL;
}

/* 1 if a caller sent what searcher @s ran as @r. */
static int was_sent(const struct run *r)
{
	int i;

	for (i = 0; i < REQUESTS; i++) {
		if (strcmp(sent[i].id, r->id) == 0)
			return strcmp(r->method, "POST") == 0 &&
			       strcmp(sent[i].path, r->path) == 0 &&
			       sent[i].body_bytes == r->body_bytes &&
			       sent[i].body_hash == r->body_hash;
	}
	return 0;
}

static int check(struct searcher *s)
{
	int bad = 0;
	size_t i;

	for (i = 0; i < searcher_runs(s); i++) {
		const struct run *r = &s->runs[i];
		int ok = was_sent(r);

		record("%s ran %s %s id %s, %zu bytes of body%s", s->id,
		       r->method, r->path, r->id, r->body_bytes,
		       ok ? "" : ": NOT AS SENT");
		bad += !ok;
	}
	return bad;
}

int main(void)
{
	struct searcher *first;
	struct searcher *second;
	pthread_t threads[CALLERS];
	int numbers[CALLERS];
	char value[512];
	int bad;
	int i;

	rig_init(FOLDER);
	store_start();
	store_put_config(1, "idempotent", 262144);
	first = searcher_start("i-7f3a91c2", "files", 30);
	second = searcher_start("i-02d9e6b4", "files", 30);
	gateway_start();
	rig_sleep(CONTACT_MS);
	if (rig_trouble()) {
		snprintf(value, sizeof(value),
			 "{\"service\":\"files\",\"address\":\"%s:%u\","
			 "\"zone\":\"z1\",\"version\":\"v1\",\"capacity\":4,"
			 "\"phase\":\"ready\",\"warmupLeftMs\":0,\"seq\":1}",
			 rig_address(), second->port);
		store_put("servers/i-02d9e6b4\r\n", value);
		record("another writer left an entry under the key "
		       "\"servers/i-02d9e6b4\\r\\n\"");
	}
	rig_sleep(APPLY_MS);
	for (i = 0; i < CALLERS; i++) {
		numbers[i] = i;
		pthread_create(&threads[i], NULL, run_caller, &numbers[i]);
	}
	for (i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
	rig_sleep(500);
	bad = check(first) + check(second);
	record("requests run that no caller sent, or not as sent: %d", bad);
	gateway_kill();
	return bad ? BROKEN : HELD;
}
