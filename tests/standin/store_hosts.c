/* The platform's host list of the store stand-in; changes show after a lag. */
#include <inttypes.h>
#include <string.h>

#include "store.h"

/* JSON text of one list, and the monotonic time from which it is shown. */
struct list_version {
	char *text;
	int64_t visible_us;
};

struct store_hosts {
	uint32_t lag_ms;
	uint64_t revision;
	/*
	 * Elements are struct list_version, oldest first; the first is shown.
	 */
	GQueue versions;
};

static void add_version(struct store_hosts *h, const char *hosts,
			int64_t visible_us)
{
	struct list_version *v = util_alloc(1, sizeof(*v));
	struct buf b = { 0 };

	buf_addf(&b, "{\"revision\":%" PRIu64 ",\"hosts\":%s}", h->revision,
		 hosts);
	v->text = b.data;
	v->visible_us = visible_us;
	g_queue_push_tail(&h->versions, v);
}

static void version_free(gpointer p)
{
	struct list_version *v = p;

	free(v->text);
	free(v);
}

struct store_hosts *store_hosts_new(uint32_t lag_ms)
{
	struct store_hosts *h = util_alloc(1, sizeof(*h));

	h->lag_ms = lag_ms;
	g_queue_init(&h->versions);
	add_version(h, "[]", 0);
	return h;
}

void store_hosts_free(struct store_hosts *h)
{
	g_queue_clear_full(&h->versions, version_free);
	free(h);
}

void store_hosts_lag(struct store_hosts *h, uint32_t lag_ms)
{
	h->lag_ms = lag_ms;
}

enum err_code store_hosts_set(struct store_hosts *h, json_t *body,
			      int64_t now_us, struct err *err)
{
	json_t *hosts = json_object_get(body, "hosts");
	char *text;

	if (!json_is_array(hosts))
		return err_set(err, ERR_BAD_FIELD, "hosts is an array");
	h->revision++;
	text = json_dumps(hosts, JSON_COMPACT);
	add_version(h, text, now_us + (int64_t)h->lag_ms * US_PER_MS);
	free(text);
	return ERR_OK;
}

/* Index of the newest list whose lag is over; 0 if there is none. */
static guint newest_visible(struct store_hosts *h, int64_t now_us)
{
	guint at = g_queue_get_length(&h->versions) - 1;

	while (at > 0) {
		struct list_version *v = g_queue_peek_nth(&h->versions, at);

		if (v->visible_us <= now_us)
			break;
		at--;
	}
	return at;
}

const char *store_hosts_text(struct store_hosts *h, int frozen, int64_t now_us)
{
	guint drop = frozen ? 0 : newest_visible(h, now_us);

	while (drop-- > 0)
		version_free(g_queue_pop_head(&h->versions));
	return ((struct list_version *)g_queue_peek_head(&h->versions))->text;
}
