#include "demo/load.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/util.h"
#include "base/rng.h"
#include "client.h"

#define CALL_TIMEOUT_MS 5000
#define PORTS_MAX 64
#define THREADS_MAX 64

struct load {
	GMutex lock;
	struct load_counts counts;
	GArray *latencies_us;
	uint32_t thread_count;
	GThread *threads[THREADS_MAX];
	uint16_t ports[PORTS_MAX];
	_Atomic int skip[PORTS_MAX];
	uint32_t port_count;
	const struct load_target *targets;
	uint32_t target_count;
	_Atomic int stopping;
};

struct load_thread {
	struct load *load;
	struct rng rng;
	uint32_t id;
};

static void count(struct load *l, const struct client_answer *a,
		  const char *request_id)
{
	int64_t code = client_int(a, "code");
	int is_own = strcmp(client_text(a, "request_id"), request_id) == 0;

	g_mutex_lock(&l->lock);
	if (!a->status || code < 0 || !is_own)
		l->counts.lost++;
	else if (code != 0)
		l->counts.refused++;
	else if (json_is_true(json_object_get(a->json, "complete")))
		l->counts.complete++;
	else
		l->counts.partial++;
	g_array_append_val(l->latencies_us, a->elapsed_us);
	g_mutex_unlock(&l->lock);
}

static void search(struct load_thread *t, uint32_t n)
{
	struct load *l = t->load;
	const struct load_target *target =
		&l->targets[rng_below(&t->rng, l->target_count)];
	uint32_t port = rng_below(&t->rng, l->port_count);
	struct client_answer a;
	char id[32];
	g_autofree char *body = NULL;

	if (l->skip[port])
		return;
	snprintf(id, sizeof(id), "load-%u-%u", t->id, n);
	body = g_strdup_printf("{\"customer\":\"%s\",\"index\":\"%s\","
			       "\"query\":\"q%u\",\"request_id\":\"%s\"}",
			       target->customer, target->index, n, id);
	client_call(&a, "POST", l->ports[port], "/v1/search", body,
		    CALL_TIMEOUT_MS);
	count(l, &a, id);
	client_clear(&a);
}

static gpointer run(gpointer data)
{
	struct load_thread *t = data;
	uint32_t n = 0;

	while (!t->load->stopping)
		search(t, n++);
	g_free(t);
	return NULL;
}

struct load *load_start(uint32_t threads, const uint16_t *ports,
			uint32_t port_count, const struct load_target *targets,
			uint32_t target_count)
{
	struct load *l = util_alloc(1, sizeof(*l));
	uint32_t i;

	g_mutex_init(&l->lock);
	l->latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	l->port_count = util_min_u32(port_count, PORTS_MAX);
	memcpy(l->ports, ports, l->port_count * sizeof(*ports));
	l->targets = targets;
	l->target_count = target_count;
	l->thread_count = util_min_u32(threads, THREADS_MAX);
	for (i = 0; i < l->thread_count; i++) {
		struct load_thread *t = g_new0(struct load_thread, 1);

		t->load = l;
		t->id = i;
		t->rng.state = i + 1;
		l->threads[i] = g_thread_new("load", run, t);
	}
	return l;
}

void load_skip(struct load *l, uint32_t i)
{
	l->skip[i] = 1;
}

static gint compare(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

void load_take(struct load *l, struct load_counts *out)
{
	GArray *a = l->latencies_us;

	g_mutex_lock(&l->lock);
	*out = l->counts;
	memset(&l->counts, 0, sizeof(l->counts));
	g_array_sort(a, compare);
	if (a->len) {
		out->p50_us = g_array_index(a, int64_t, a->len / 2);
		out->p99_us = g_array_index(a, int64_t, a->len * 99 / 100);
	}
	g_array_set_size(a, 0);
	g_mutex_unlock(&l->lock);
}

void load_stop(struct load *l)
{
	uint32_t i;

	l->stopping = 1;
	for (i = 0; i < l->thread_count; i++)
		g_thread_join(l->threads[i]);
	g_array_unref(l->latencies_us);
	g_mutex_clear(&l->lock);
	free(l);
}
