#include "fleet_answer.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "corpus.h"

/* Padding of the fault "huge": more than the 1 MB that an answer may have. */
#define HUGE_BYTES (1536u << 10)

static void find_hits(const struct job *j, struct hits *out)
{
	if (j->op == OP_SEARCH)
		corpus_search(j->index, j->shard, j->snapshot, j->text,
			      j->limit, out);
	else
		corpus_lookup(j->index, j->shard, j->snapshot, j->text, out);
}

static void add_text(struct buf *b, const char *text)
{
	buf_add(b, text, strlen(text));
}

static void add_hits(struct buf *b, const struct job *j)
{
	struct hits hits CLEANUP(hits_free) = { 0 };
	uint32_t i;

	find_hits(j, &hits);
	buf_addf(b, "\"hits\":[");
	for (i = 0; i < hits.count; i++) {
		char score[32];

		snprintf(score, sizeof(score), "%.2f", hits.items[i].score);
		/*
		 * Copied, which is faster than formatting: this runs for every
		 * hit.
		 */
		add_text(b, i ? ",{\"id\":\"" : "{\"id\":\"");
		add_text(b, hits.items[i].id);
		add_text(b, "\",\"score\":");
		add_text(b, score);
		add_text(b, ",\"doc\":");
		add_text(b, hits.items[i].doc);
		add_text(b, "}");
	}
	buf_addf(b, "]");
}

static void add_padding(struct buf *b)
{
	char block[1024];
	uint32_t i;

	memset(block, 'x', sizeof(block));
	buf_addf(b, ",\"padding\":\"");
	for (i = 0; i < HUGE_BYTES / sizeof(block); i++)
		buf_add(b, block, sizeof(block));
	buf_addf(b, "\"");
}

/* Writes the answer to @b, with the changes that faults make to its fields. */
static void write_answer(struct endpoint *p, const struct job *j,
			 int64_t now_us, struct buf *b)
{
	struct target *t = &p->target;
	const char *route = job_route(j);
	uint64_t sub_id = j->sub_id;

	if (target_fires(t, TARGET_FAULT_WRONG_SUB, route, now_us))
		sub_id++;
	buf_addf(b,
		 "{\"request_id\":\"%s\",\"sub_id\":%" PRIu64
		 ",\"shard\":\"%s\",\"snapshot\":\"%s\",\"instance\":\"%s\",",
		 target_fires(t, TARGET_FAULT_WRONG_ID, route, now_us)
			 ? "wrong-request"
			 : j->request_id,
		 sub_id,
		 target_fires(t, TARGET_FAULT_WRONG_SHARD, route, now_us)
			 ? "wrong-shard"
			 : j->shard,
		 target_fires(t, TARGET_FAULT_WRONG_SNAPSHOT, route, now_us)
			 ? "wrong-snapshot"
			 : j->snapshot,
		 t->instance);
	add_hits(b, j);
	if (target_fires(t, TARGET_FAULT_HUGE, route, now_us))
		add_padding(b);
	buf_addf(b, "}");
}

static enum http_manner manner_of(struct endpoint *p, const char *route,
				  int64_t now_us)
{
	if (target_fires(&p->target, TARGET_FAULT_DUPLICATED, route, now_us))
		return HTTP_TWICE;
	if (target_fires(&p->target, TARGET_FAULT_CLOSE_HALF, route, now_us))
		return HTTP_HALF;
	return HTTP_WHOLE;
}

static void send_done(struct endpoint *p, struct http_conn *c,
		      const struct job *j, int64_t now_us)
{
	struct target *t = &p->target;
	const char *route = job_route(j);
	struct buf b CLEANUP_BUF = { 0 };
	const struct buf *sent = &b;
	size_t sent_bytes;

	t->counters.answered++;
	if (target_fires(t, TARGET_FAULT_CLOSE_AFTER, route, now_us)) {
		http_drop(c);
		return;
	}
	if (target_fires(t, TARGET_FAULT_SILENT_ANSWER, route, now_us)) {
		t->counters.silenced++;
		http_silence(c);
		return;
	}
	write_answer(p, j, now_us, &b);
	if (p->last_answer.len_bytes &&
	    target_fires(t, TARGET_FAULT_CROSSED, route, now_us))
		sent = &p->last_answer;
	sent_bytes = sent->len_bytes;
	if (target_fires(t, TARGET_FAULT_TRUNCATED, route, now_us))
		sent_bytes /= 2;
	http_reply(c, 200, sent->data, sent_bytes, manner_of(p, route, now_us));
}

/* Keeps the answer, which the fault "crossed" sends for a later request. */
static void remember(struct endpoint *p, const struct job *j)
{
	struct buf b = { 0 };

	buf_addf(&b,
		 "{\"request_id\":\"%s\",\"sub_id\":%" PRIu64
		 ",\"shard\":\"%s\",\"snapshot\":\"%s\",\"instance\":\"%s\",",
		 j->request_id, j->sub_id, j->shard, j->snapshot,
		 p->target.instance);
	add_hits(&b, j);
	buf_addf(&b, "}");
	buf_free(&p->last_answer);
	p->last_answer = b;
}

/* Answers with an error; @error: value of "error" and further fields. */
static void reply_error(struct http_conn *c, const struct job *j,
			uint32_t status, const char *error)
{
	http_replyf(c, status, "{\"error\":%s,\"sub_id\":%llu}", error,
		    (unsigned long long)j->sub_id);
}

void answer_send(struct endpoint *p, struct http_conn *c, const struct job *j,
		 enum job_end end, int64_t now_us)
{
	char text[160];

	switch (end) {
	case JOB_DONE:
		send_done(p, c, j, now_us);
		if (p->target.faults[TARGET_FAULT_CROSSED].on)
			remember(p, j);
		break;
	case JOB_FAILED:
		reply_error(c, j, j->status, "\"failed\"");
		break;
	case JOB_SHED:
		reply_error(c, j, 429, "\"shed\"");
		break;
	case JOB_DRAINING:
		reply_error(c, j, 503, "\"draining\"");
		break;
	case JOB_SNAPSHOT_GONE:
		snprintf(text, sizeof(text),
			 "\"snapshot_gone\",\"snapshot\":\"%s\"",
			 p->target.spec.snapshot);
		reply_error(c, j, 404, text);
		break;
	case JOB_CANCELLED_QUEUED:
		reply_error(c, j, 409, "\"cancelled\",\"not_run\":true");
		break;
	case JOB_CANCELLED_RUNNING:
		reply_error(c, j, 409, "\"cancelled\"");
		break;
	case JOB_EXPIRED_QUEUED:
		reply_error(c, j, 504, "\"deadline\",\"not_run\":true");
		break;
	case JOB_EXPIRED_RUNNING:
		reply_error(c, j, 504, "\"deadline\",\"not_run\":false");
		break;
	}
}
