/*
 * Scripted runs over "cowslippoint explain" (area explain) and over the metrics
 * of routes and services (area series).
 */
#include <glib.h>
#include <string.h>

#include "base/series.h"
#include "ctl/explain.h"
#include "script.h"

static void *ctx_new(void)
{
	return g_ptr_array_new_with_free_func(g_free);
}

static void ctx_free(void *ctx)
{
	g_ptr_array_free(ctx, TRUE);
}

/* line SECONDS HOST EVENT MSG...: adds a log line of a host. */
static void cmd_line(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	GString *s = g_string_new(NULL);
	uint32_t i;

	g_string_printf(s,
			"{\"ts\":\"2026-01-01T00:00:%sZ\",\"level\":\"info\","
			"\"host\":\"%s\",\"event\":\"%s\",\"msg\":\"",
			argv[0], argv[1], argv[2]);
	for (i = 3; i < argc; i++)
		g_string_append_printf(s, "%s%s", i > 3 ? " " : "", argv[i]);
	g_string_append(s, "\"}");
	g_ptr_array_add(ctx, g_string_free(s, FALSE));
}

/* text WORD: adds a line as it is, which is not a log line of the gateway. */
static void cmd_text(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	g_ptr_array_add(ctx, g_strdup(argv[0]));
}

/* explain ID: prints the course of the request from all lines so far. */
static void cmd_explain(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	GPtrArray *lines = ctx;
	struct explain *e = explain_new(argv[0]);
	guint i;

	for (i = 0; i < lines->len; i++)
		explain_add_line(e, g_ptr_array_index(lines, i));
	if (!explain_write(e, out))
		buf_addf(out, "not found\n");
	explain_free(e);
}

static const struct script_command explain_commands[] = {
	{ "line", cmd_line },
	{ "text", cmd_text },
	{ "explain", cmd_explain },
};

/*
 * observe route|service NAME OUTCOME US: counts an answer or call. NAME may have
 * the escapes of C; OUTCOME is a number of enum series_outcome.
 */
static void cmd_observe(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	g_autofree char *name = g_strcompress(argv[1]);

	series_observe(series_get(strcmp(argv[0], "route") == 0
					  ? SERIES_ROUTE
					  : SERIES_SERVICE,
				  name),
		       (enum series_outcome)atoi(argv[2]), atoll(argv[3]));
}

/* fill N: counts a call to each of N services. */
static void cmd_fill(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	int i;

	for (i = 0; i < atoi(argv[0]); i++) {
		g_autofree char *name = g_strdup_printf("s%d", i);

		series_observe(series_get(SERIES_SERVICE, name), SERIES_OK, 1);
	}
}

/*
 * show TEXT [count]: prints the lines of the metrics page that contain TEXT, or
 * their number if there is a second word.
 */
static void cmd_show(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct buf page CLEANUP_BUF = { 0 };
	g_auto(GStrv) lines = NULL;
	int count = 0;
	int i;

	series_write(&page);
	lines = g_strsplit(page.data ? page.data : "", "\n", -1);
	for (i = 0; lines[i]; i++) {
		if (!strstr(lines[i], argv[0]))
			continue;
		count++;
		if (argc == 1)
			buf_addf(out, "%s\n", lines[i]);
	}
	if (argc > 1)
		buf_addf(out, "%d lines\n", count);
}

static const struct script_command series_commands[] = {
	{ "observe", cmd_observe },
	{ "fill", cmd_fill },
	{ "show", cmd_show },
};

int main(int argc, char **argv)
{
	const struct script_area areas[] = {
		{ "explain", ctx_new, ctx_free, countof(explain_commands),
		  explain_commands },
		{ "series", ctx_new, ctx_free, countof(series_commands),
		  series_commands },
	};

	return script_main(argc, argv, areas, countof(areas));
}
