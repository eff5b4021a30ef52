#include "duty/admin_reply.h"

#include <pthread.h>

#include "base/util.h"

struct admin_reply {
	/* Guards the fields below. */
	pthread_mutex_t lock;
	uint32_t refs;
	/* 1: http_status and json are set. */
	uint32_t ready;
	uint32_t http_status;
	char *json;
	void (*wake)(void *ctx);
	void *wake_ctx;
};

struct admin_reply *admin_reply_new(void (*wake)(void *ctx), void *ctx)
{
	struct admin_reply *r = util_alloc(1, sizeof(*r));

	pthread_mutex_init(&r->lock, NULL);
	r->refs = 2;
	r->wake = wake;
	r->wake_ctx = ctx;
	return r;
}

void admin_reply_unref(struct admin_reply *r)
{
	uint32_t refs_left;

	pthread_mutex_lock(&r->lock);
	refs_left = --r->refs;
	pthread_mutex_unlock(&r->lock);
	if (refs_left)
		return;
	pthread_mutex_destroy(&r->lock);
	free(r->json);
	free(r);
}

void admin_reply_try_set(struct admin_reply *r, uint32_t http_status,
			 const char *json)
{
	pthread_mutex_lock(&r->lock);
	if (!r->ready) {
		r->ready = 1;
		r->http_status = http_status;
		r->json = util_strdup(json);
		/*
		 * The connection takes the lock before it ends, so it is still
		 * there while wake() runs.
		 */
		r->wake(r->wake_ctx);
	}
	pthread_mutex_unlock(&r->lock);
}

void admin_reply_set(void *reply, uint32_t http_status, const char *json)
{
	admin_reply_try_set(reply, http_status, json);
	admin_reply_unref(reply);
}

int admin_reply_get(struct admin_reply *r, uint32_t *http_status,
		    const char **json)
{
	int ready;

	pthread_mutex_lock(&r->lock);
	ready = (int)r->ready;
	*http_status = r->http_status;
	*json = r->json;
	pthread_mutex_unlock(&r->lock);
	return ready;
}
