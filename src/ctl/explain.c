#include "ctl/explain.h"

#include <glib.h>
#include <jansson.h>
#include <stdint.h>
#include <string.h>

#define LINE_BYTES 16384
#define EXIT_FAILED 1
#define EXIT_USAGE 2
/* Changes of state are shown from this long before the request's first line. */
#define BEFORE_US (30 * (gint64)G_USEC_PER_SEC)

/* Log line. */
struct entry {
	gint64 time_us;
	char *host;
	char *event;
	char *msg;
	/* 1: a line of the request; 0: a line that is not about requests. */
	int is_request;
};

struct explain {
	/* Beginning of the message in each line of the request. */
	char *msg_prefix;
	/*
	 * Pointers to struct entry: the lines of the request, and all lines
	 * with an event that is not in request_events.
	 */
	GPtrArray *entries;
};

/* Events of requests; those of other requests are not kept. */
static const char *const request_events[] = { "call", "target_failed", "answer",
					      "caller_gone" };
/* Changes of state that concern every request of their host. */
static const char *const host_events[] = { "started",
					   "leaving",
					   "stopped",
					   "config_adopted",
					   "config_in_force",
					   "config_refused",
					   "store_lost",
					   "store_regained",
					   "host_behind",
					   "ring_full",
					   "data_centre_evacuated" };

/* Result code in the answer line, its meaning and the lines to look at. */
static const struct {
	const char *word;
	const char *meaning;
} findings[] = {
	{ " code NO_CONFIG", "the host had no configuration yet: see started, "
			     "store_lost and config_adopted above" },
	{ " code OVERLOADED", "refused at once: the service's connections were "
			      "all in use" },
	{ " code NO_REPLICA", "no target could be sent to and nothing ran: see "
			      "target_gone and target_failed above" },
	{ " code INCOMPLETE", "fewer parts than the route requires: see the "
			      "services in target_failed above" },
	{ " code TARGET_STATUS", "the target failed and the request was not "
				 "sent again: see target_failed above" },
	{ " code DEADLINE", "the time limit passed: see the services without "
			    "an answer above" },
	{ " code OK", "answered" },
};

static void entry_free(gpointer p)
{
	struct entry *entry = p;

	g_free(entry->host);
	g_free(entry->event);
	g_free(entry->msg);
	g_free(entry);
}

struct explain *explain_new(const char *request_id)
{
	struct explain *e = util_alloc(1, sizeof(*e));

	e->msg_prefix = g_strdup_printf("request %s ", request_id);
	e->entries = g_ptr_array_new_with_free_func(entry_free);
	return e;
}

void explain_free(struct explain *e)
{
	if (!e)
		return;
	g_free(e->msg_prefix);
	g_ptr_array_free(e->entries, TRUE);
	free(e);
}

static int is_in(const char *const *list, size_t count, const char *word)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(list[i], word) == 0)
			return 1;
	}
	return 0;
}

static gint64 read_time(const char *text)
{
	GDateTime *t = g_date_time_new_from_iso8601(text, NULL);
	gint64 us;

	if (!t)
		return 0;
	us = g_date_time_to_unix(t) * G_USEC_PER_SEC +
	     g_date_time_get_microsecond(t);
	g_date_time_unref(t);
	return us;
}

void explain_add_line(struct explain *e, const char *line)
{
	/* The benchmark and collectors of logs put text before the object. */
	const char *start = strchr(line, '{');
	json_t *doc = start ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL)
			    : NULL;
	const char *ts = json_string_value(json_object_get(doc, "ts"));
	const char *host = json_string_value(json_object_get(doc, "host"));
	const char *event = json_string_value(json_object_get(doc, "event"));
	const char *msg = json_string_value(json_object_get(doc, "msg"));
	struct entry *n;
	int is_request;

	if (!ts || !host || !event || !msg) {
		json_decref(doc);
		return;
	}
	is_request = strncmp(msg, e->msg_prefix, strlen(e->msg_prefix)) == 0;
	if (is_request ||
	    !is_in(request_events, countof(request_events), event)) {
		n = g_new0(struct entry, 1);
		n->time_us = read_time(ts);
		n->host = g_strdup(host);
		n->event = g_strdup(event);
		n->msg = g_strdup(msg);
		n->is_request = is_request;
		g_ptr_array_add(e->entries, n);
	}
	json_decref(doc);
}

/* Copy of the word after @name in @msg, for the caller to free, or NULL. */
static char *word_after(const char *msg, const char *name)
{
	g_autofree char *key = g_strdup_printf(" %s ", name);
	const char *at = strstr(msg, key);

	if (!at)
		return NULL;
	at += strlen(key);
	return g_strndup(at, strcspn(at, " "));
}

static void note_word(GHashTable *names, const char *msg, const char *name)
{
	char *word = word_after(msg, name);

	if (word)
		g_hash_table_add(names, word);
}

static int mentions_any(const char *msg, GHashTable *names)
{
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, names);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		if (strstr(msg, name))
			return 1;
	}
	return 0;
}

/* What the lines of the request contain. */
struct scope {
	/* Wall-clock times of the first and the last line; 0: no line yet. */
	gint64 first_us;
	gint64 last_us;
	GHashTable *hosts;
	/* Names of targets and services. */
	GHashTable *names;
	/* Last line with the event "answer" or "caller_gone"; NULL: none. */
	const struct entry *answer;
	uint32_t extra_calls;
	uint32_t failures;
};

static void scope_add(struct scope *s, const struct entry *n)
{
	if (!s->first_us || n->time_us < s->first_us)
		s->first_us = n->time_us;
	s->last_us = MAX(s->last_us, n->time_us);
	g_hash_table_add(s->hosts, g_strdup(n->host));
	note_word(s->names, n->msg, "target");
	note_word(s->names, n->msg, "service");
	s->extra_calls += strstr(n->msg, " as hedge ") != NULL ||
			  strstr(n->msg, " as retry ") != NULL;
	s->failures += strcmp(n->event, "target_failed") == 0;
	if (strcmp(n->event, "answer") == 0 || strcmp(n->event, "caller_"
								"gone") == 0)
		s->answer = n;
}

static int is_relevant(const struct scope *s, const struct entry *n)
{
	if (n->is_request)
		return 1;
	if (!g_hash_table_contains(s->hosts, n->host) ||
	    n->time_us < s->first_us - BEFORE_US || n->time_us > s->last_us)
		return 0;
	return is_in(host_events, countof(host_events), n->event) ||
	       mentions_any(n->msg, s->names);
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct entry *x = *(const struct entry *const *)a;
	const struct entry *y = *(const struct entry *const *)b;

	return (x->time_us > y->time_us) - (x->time_us < y->time_us);
}

static void write_findings(const struct scope *s, struct buf *out)
{
	const char *msg = s->answer ? s->answer->msg : "";
	uint32_t i;

	buf_addf(out, "%u extra calls, %u failed calls\n", s->extra_calls,
		 s->failures);
	if (!s->answer) {
		buf_addf(out, "no answer was logged: the host ended first, or "
			      "the answer was complete and in time\n");
		return;
	}
	if (strcmp(s->answer->event, "caller_gone") == 0)
		buf_addf(out, "the caller closed its connection first\n");
	for (i = 0; i < countof(findings); i++) {
		if (strstr(msg, findings[i].word))
			buf_addf(out, "%s\n", findings[i].meaning);
	}
}

int explain_write(struct explain *e, struct buf *out)
{
	struct scope s = { .hosts = g_hash_table_new_full(
				   g_str_hash, g_str_equal, g_free, NULL),
			   .names = g_hash_table_new_full(
				   g_str_hash, g_str_equal, g_free, NULL) };
	guint i;

	g_ptr_array_sort(e->entries, by_time);
	for (i = 0; i < e->entries->len; i++) {
		const struct entry *n = g_ptr_array_index(e->entries, i);

		if (n->is_request)
			scope_add(&s, n);
	}
	for (i = 0; s.first_us && i < e->entries->len; i++) {
		const struct entry *n = g_ptr_array_index(e->entries, i);

		if (is_relevant(&s, n))
			buf_addf(out, "%+10.3f ms %s %s%s: %s\n",
				 (double)(n->time_us - s.first_us) / 1000,
				 n->host, n->is_request ? "" : "state ",
				 n->event, n->msg);
	}
	if (s.first_us)
		write_findings(&s, out);
	g_hash_table_destroy(s.hosts);
	g_hash_table_destroy(s.names);
	return s.first_us != 0;
}

static void read_stream(struct explain *e, FILE *in)
{
	char line[LINE_BYTES];

	while (fgets(line, sizeof(line), in))
		explain_add_line(e, line);
}

static int read_files(struct explain *e, int count, char **paths)
{
	int i;

	if (!count)
		read_stream(e, stdin);
	for (i = 0; i < count; i++) {
		FILE *in = fopen(paths[i], "r");

		if (!in) {
			fprintf(stderr, "cowslippoint: cannot read %s\n",
				paths[i]);
			return 0;
		}
		read_stream(e, in);
		fclose(in);
	}
	return 1;
}

int explain_main(int argc, char **argv)
{
	struct buf out CLEANUP_BUF = { 0 };
	struct explain *e;
	int found = 0;

	if (argc < 2 || argv[1][0] == '-') {
		FILE *to = argc > 1 && strcmp(argv[1], "--help") == 0 ? stdout
								      : stderr;

		fprintf(to, "usage: cowslippoint explain REQUEST_ID [LOG]...\n"
			    "Reads logs of hosts, or standard input.\n");
		return to == stdout ? 0 : EXIT_USAGE;
	}
	e = explain_new(argv[1]);
	if (read_files(e, argc - 2, argv + 2)) {
		found = explain_write(e, &out);
		if (found)
			fputs(out.data, stdout);
		else
			fprintf(stderr,
				"cowslippoint: no line of request %s: complete "
				"answers in time are logged for one in 256\n",
				argv[1]);
	}
	explain_free(e);
	return found ? 0 : EXIT_FAILED;
}
