#include "script.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <glib.h>
#include <string.h>

/* One script file, as the data of its GLib test. */
struct script_case {
	const struct script_area *area;
	char *script_path;
	char *expected_path;
};

const char *script_arg(uint32_t argc, char **argv, const char *name,
		       const char *fallback)
{
	size_t len = strlen(name);
	uint32_t i;

	for (i = 0; i < argc; i++) {
		if (strncmp(argv[i], name, len) == 0 && argv[i][len] == '=')
			return argv[i] + len + 1;
	}
	return fallback;
}

int64_t script_int(uint32_t argc, char **argv, const char *name,
		   int64_t fallback)
{
	const char *text = script_arg(argc, argv, name, NULL);

	return text ? g_ascii_strtoll(text, NULL, 10) : fallback;
}

uint32_t script_u32(uint32_t argc, char **argv, const char *name,
		    uint32_t fallback)
{
	return (uint32_t)script_int(argc, argv, name, fallback);
}

static const struct script_command *find_command(const struct script_area *area,
						 const char *name)
{
	uint32_t i;

	for (i = 0; i < area->command_count; i++) {
		if (strcmp(area->commands[i].name, name) == 0)
			return &area->commands[i];
	}
	return NULL;
}

static void run_line(const struct script_area *area, void *ctx, char *line,
		     struct buf *out)
{
	const struct script_command *command;
	char *argv[SCRIPT_WORDS_MAX];
	char *save = NULL;
	char *word;
	uint32_t argc = 0;

	buf_addf(out, "> %s\n", line);
	for (word = strtok_r(line, " \t", &save); word;
	     word = strtok_r(NULL, " \t", &save)) {
		if (argc == SCRIPT_WORDS_MAX)
			g_error("script line has too many words");
		argv[argc++] = word;
	}
	if (argc == 0)
		return;
	command = find_command(area, argv[0]);
	if (!command)
		g_error("unknown script command '%s'", argv[0]);
	command->fn(ctx, argc - 1, argv + 1, out);
}

static int is_blank(const char *line)
{
	return line[strspn(line, " \t")] == '\0' || line[0] == '#';
}

static void run_case(gconstpointer data)
{
	const struct script_case *c = data;
	struct buf out CLEANUP_BUF = { 0 };
	g_autofree char *script = NULL;
	g_autofree char *expected = NULL;
	g_auto(GStrv) lines = NULL;
	void *ctx;
	uint32_t i;

	g_assert_true(g_file_get_contents(c->script_path, &script, NULL, NULL));
	if (!g_file_get_contents(c->expected_path, &expected, NULL, NULL))
		g_error("%s is missing", c->expected_path);
	lines = g_strsplit(script, "\n", -1);
	ctx = c->area->ctx_new();
	for (i = 0; lines[i]; i++) {
		if (!is_blank(lines[i]))
			run_line(c->area, ctx, lines[i], &out);
	}
	c->area->ctx_free(ctx);
	if (strcmp(out.data ? out.data : "", expected) != 0) {
		g_autofree char *base = g_path_get_basename(c->script_path);
		g_autofree char *actual =
			g_strconcat("build/", base, ".actual", NULL);

		g_file_set_contents(actual, out.data ? out.data : "", -1, NULL);
		g_test_message("output differs from %s; see %s",
			       c->expected_path, actual);
		g_test_fail();
	}
}

static void free_case(gpointer data)
{
	struct script_case *c = data;

	g_free(c->script_path);
	g_free(c->expected_path);
	g_free(c);
}

static void register_file(const struct script_area *area, const char *dir,
			  const char *file)
{
	struct script_case *c = g_new0(struct script_case, 1);
	g_autofree char *stem = g_strndup(file, strlen(file) - strlen(".scrip"
								      "t"));
	g_autofree char *test = g_strdup_printf("/script/%s", stem);

	c->area = area;
	c->script_path = g_strdup_printf("%s/%s", dir, file);
	c->expected_path = g_strdup_printf("%s/%s.expected", dir, stem);
	g_test_add_data_func_full(test, c, run_case, free_case);
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(*(const char *const *)a, *(const char *const *)b);
}

void script_register(const struct script_area *area, const char *dir)
{
	g_autofree char *prefix = g_strdup_printf("%s-", area->name);
	g_autoptr(GPtrArray) files = g_ptr_array_new_with_free_func(g_free);
	GDir *handle = g_dir_open(dir, 0, NULL);
	const char *file;
	uint32_t i;

	if (!handle)
		g_error("cannot read %s", dir);
	while ((file = g_dir_read_name(handle)) != NULL) {
		if (g_str_has_prefix(file, prefix) &&
		    g_str_has_suffix(file, ".script"))
			g_ptr_array_add(files, g_strdup(file));
	}
	g_dir_close(handle);
	/* The order in a directory differs between file systems. */
	g_ptr_array_sort(files, compare_names);
	for (i = 0; i < files->len; i++)
		register_file(area, dir, g_ptr_array_index(files, i));
}

/* Appends @word with each <TEXT*COUNT> in it expanded. */
static void add_expanded(const char *word, struct buf *text)
{
	const char *start = strchr(word, '<');
	const char *star = start ? strchr(start, '*') : NULL;
	const char *end = star ? strchr(star, '>') : NULL;
	int64_t count;

	if (!end) {
		buf_add(text, word, strlen(word));
		return;
	}
	buf_add(text, word, (size_t)(start - word));
	for (count = g_ascii_strtoll(star + 1, NULL, 10); count > 0; count--)
		buf_add(text, start + 1, (size_t)(star - start - 1));
	add_expanded(end + 1, text);
}

void script_text(uint32_t argc, char **argv, uint32_t from, struct buf *text)
{
	uint32_t i;

	for (i = from; i < argc; i++) {
		if (i > from)
			buf_add(text, " ", 1);
		add_expanded(argv[i], text);
	}
}

int script_main(int argc, char **argv, const struct script_area *areas,
		uint32_t area_count)
{
	uint32_t i;

	apr_initialize();
	curl_global_init(CURL_GLOBAL_ALL);
	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < area_count; i++)
		script_register(&areas[i], SCRIPT_DIR);
	return g_test_run();
}
