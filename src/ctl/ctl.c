#include "ctl/ctl.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl_internal.h"

#define ADMIN_DEFAULT "127.0.0.1:8081"
#define ADMIN_VARIABLE "COWSLIPPOINT_ADMIN"
#define TOKEN_VARIABLE "COWSLIPPOINT_ADMIN_TOKEN"
#define TIMEOUT_DEFAULT_S 120
#define TIMEOUT_MAX_S 604800

/* Passed to argtable2 as an array, so it contains only these pointers. */
struct ctl_table {
	struct arg_lit *json;
	struct arg_str *admin;
	struct arg_str *token;
	struct arg_lit *wait;
	struct arg_int *timeout;
	struct arg_str *from;
	struct arg_str *to;
	struct arg_int *finish;
	struct arg_str *reason;
	struct arg_str *svg;
	struct arg_str *if_rev;
	struct arg_lit *help;
	struct arg_str *words;
	struct arg_end *end;
};

static void table_init(struct ctl_table *t)
{
	t->json = arg_lit0(NULL, "json", "print the answer as JSON");
	t->admin = arg_str0(NULL, "admin", "ADDRESS:PORT[,...]",
			    "hosts to ask (" ADMIN_VARIABLE
			    ", default " ADMIN_DEFAULT ")");
	t->token = arg_str0(NULL, "token", "TOKEN",
			    "admin token (" TOKEN_VARIABLE ")");
	t->wait = arg_lit0(NULL, "wait", "wait until the change has ended");
	t->timeout = arg_int0(NULL, "timeout", "SECONDS",
			      "longest wait (default 120, and a rollout's "
			      "time)");
	t->from = arg_str0(NULL, "from", "VERSION", "version that serves now");
	t->to = arg_str0(NULL, "to", "VERSION", "version to roll out");
	t->finish = arg_int0(NULL, "finish-in", "SECONDS",
			     "time for the rollout, 30 to 604800");
	t->reason = arg_str0(NULL, "reason", "TEXT", "why it is aborted");
	t->svg = arg_str0(NULL, "svg", "FILE", "also write a plot");
	t->if_rev = arg_str0(NULL, "if-rev", "REVISION",
			     "refuse when the item is at another revision");
	t->help = arg_lit0(NULL, "help", "show this help");
	t->words = arg_strn(NULL, NULL, "COMMAND", 0, CTL_WORDS_MAX, NULL);
	t->end = arg_end(4);
}

static void print_commands(const struct ctl *c, const char *object)
{
	uint32_t i;

	for (i = 0; i < ctl_command_count; i++) {
		const struct ctl_command *k = &ctl_commands[i];
		char line[96];

		if (object && strcmp(object, k->object) != 0)
			continue;
		snprintf(line, sizeof(line), "%s%s%s %s", k->object,
			 k->verb ? " " : "", k->verb ? k->verb : "",
			 k->operands_help);
		ctl_printf(c, CTL_STDOUT, "  ctl %-28s %s\n", line, k->help);
	}
}

static int print_help(const struct ctl *c, void **table, const char *object)
{
	char *text = NULL;
	size_t bytes = 0;
	FILE *memory = open_memstream(&text, &bytes);

	ctl_printf(c, CTL_STDOUT,
		   "usage: cowslippoint ctl COMMAND [OPTIONS]\n\n");
	print_commands(c, object);
	arg_print_glossary(memory, table, "  %-30s %s\n");
	fclose(memory);
	ctl_printf(c, CTL_STDOUT, "\n%s", text);
	ctl_printf(c, CTL_STDOUT,
		   "\nexit codes: 0 done, 1 refused or rolled back, 2 usage, "
		   "3 not reachable\n");
	free(text);
	return CTL_DONE;
}

static int usage_error(const struct ctl *c, const char *problem,
		       const char *subject)
{
	struct err err = { 0 };
	char detail[ERR_DETAIL_BYTES];

	snprintf(detail, sizeof(detail), "%s%s%s; see ctl --help", subject,
		 problem[0] ? " " : "", problem);
	err_set(&err, ERR_USAGE, "%s", detail);
	return ctl_fail(c, CTL_USAGE, &err);
}

static int add_address(struct ctl *c, const char *text, size_t len)
{
	struct ctl_args *a = &c->args;

	if (len == 0 || len >= CTL_ADDRESS_BYTES ||
	    a->address_count == CTL_ADDRESSES_MAX || !memchr(text, ':', len))
		return 0;
	memcpy(a->addresses[a->address_count], text, len);
	a->addresses[a->address_count++][len] = '\0';
	return 1;
}

static int parse_addresses(struct ctl *c, const char *list)
{
	while (*list) {
		size_t len = strcspn(list, ",");

		if (!add_address(c, list, len))
			return usage_error(c, "is not ADDRESS:PORT[,...]",
					   "--admin");
		list += len + (list[len] == ',');
	}
	return c->args.address_count
		       ? CTL_DONE
		       : usage_error(c, "is not ADDRESS:PORT[,...]", "--admin");
}

static const char *option_or(const struct arg_str *a, const char *fallback)
{
	if (a->count)
		return a->sval[0];
	return fallback ? fallback : "";
}

/*
 * Value of the option, else of the environment variable unless that is empty,
 * else @fallback.
 */
static const char *option_or_env(const struct ctl *c, const struct arg_str *a,
				 const char *variable, const char *fallback)
{
	const char *value = c->io->env_value(c->io->ctx, variable);

	return option_or(a, value && value[0] ? value : fallback);
}

/*
 * Options on the command line as a mask of enum ctl_option. --timeout sets
 * CTL_OPT_WAIT too, as it is allowed with the same commands.
 */
static uint32_t options_given(const struct ctl_table *t)
{
	return (t->from->count ? CTL_OPT_FROM : 0) |
	       (t->to->count ? CTL_OPT_TO : 0) |
	       (t->finish->count ? CTL_OPT_FINISH : 0) |
	       (t->reason->count ? CTL_OPT_REASON : 0) |
	       (t->svg->count ? CTL_OPT_SVG : 0) |
	       (t->if_rev->count ? CTL_OPT_IF_REV : 0) |
	       (t->wait->count || t->timeout->count ? CTL_OPT_WAIT : 0);
}

static int parse_numbers(struct ctl *c, const struct ctl_table *t)
{
	char *end = NULL;

	c->args.finish_in_s = t->finish->count ? t->finish->ival[0] : 0;
	c->args.timeout_s = TIMEOUT_DEFAULT_S;
	/*
	 * With --finish-in, the default of --timeout is so much longer that the
	 * rollout has ended by then; TIMEOUT_MAX_S limits it.
	 */
	if (c->args.finish_in_s > 0)
		c->args.timeout_s = (int32_t)util_min_i64(
			TIMEOUT_MAX_S,
			(int64_t)TIMEOUT_DEFAULT_S + c->args.finish_in_s);
	if (t->timeout->count)
		c->args.timeout_s = t->timeout->ival[0];
	if (c->args.timeout_s < 1 || c->args.timeout_s > TIMEOUT_MAX_S)
		return usage_error(c, "is out of range, accepted 1 to 604800",
				   "--timeout");
	if (!t->if_rev->count)
		return CTL_DONE;
	c->args.if_rev = strtoll(t->if_rev->sval[0], &end, 10);
	if (*end || c->args.if_rev < 1)
		return usage_error(c, "is not a revision number", "--if-rev");
	return CTL_DONE;
}

static int parse_args(struct ctl *c, const struct ctl_table *t)
{
	struct ctl_args *a = &c->args;
	int32_t i;

	for (i = 0; i < t->words->count; i++)
		a->words[i] = t->words->sval[i];
	a->word_count = (uint32_t)t->words->count;
	a->as_json = t->json->count > 0;
	a->wait = t->wait->count > 0;
	a->token = option_or_env(c, t->token, TOKEN_VARIABLE, "");
	a->from = option_or(t->from, "");
	a->to = option_or(t->to, "");
	a->reason = option_or(t->reason, "");
	a->svg_path = option_or(t->svg, "");
	if (parse_numbers(c, t) != CTL_DONE)
		return CTL_USAGE;
	return parse_addresses(c, option_or_env(c, t->admin, ADMIN_VARIABLE,
						ADMIN_DEFAULT));
}

static const struct ctl_command *find_command(const struct ctl_args *a)
{
	uint32_t i;

	if (!a->words[0])
		return NULL;
	for (i = 0; i < ctl_command_count; i++) {
		const struct ctl_command *k = &ctl_commands[i];

		if (strcmp(a->words[0], k->object) != 0)
			continue;
		if (!k->verb)
			return k;
		if (a->word_count > 1 && strcmp(a->words[1], k->verb) == 0)
			return k;
	}
	return NULL;
}

static int run_command(struct ctl *c, uint32_t given)
{
	const struct ctl_command *k = find_command(&c->args);
	uint32_t operands;

	if (!c->args.word_count)
		return usage_error(c, "is missing", "the command");
	if (!k)
		return usage_error(c, "is not a command with that verb",
				   c->args.words[0]);
	operands = c->args.word_count - (k->verb ? 2 : 1);
	if (operands < k->operands_min || operands > k->operands_max)
		return usage_error(c, "has a wrong number of operands",
				   c->args.words[0]);
	if (operands && strchr(ctl_operand(c, 0), '/') &&
	    strcmp(k->operands_help, "FILE") != 0)
		return usage_error(c, "is not a valid name", ctl_operand(c, 0));
	if (given & ~k->options_allowed)
		return usage_error(c, "does not take one of these options",
				   c->args.words[0]);
	if (k->options_required & ~given)
		return usage_error(c, "needs --from, --to and --finish-in",
				   c->args.words[0]);
	return k->fn(c);
}

/* Prints the first error that argtable2 found on the command line. */
static int print_errors(const struct ctl *c, const struct ctl_table *t)
{
	char *text CLEANUP_FREE = NULL;
	size_t bytes = 0;
	FILE *memory = open_memstream(&text, &bytes);

	arg_print_errors(memory, t->end, "ctl");
	fclose(memory);
	text[strcspn(text, "\n")] = '\0';
	return usage_error(c, "",
			   strncmp(text, "ctl: ", 5) == 0 ? text + 5 : text);
}

int ctl_run(const struct ctl_io *io, int argc, char **argv)
{
	struct ctl c = { .io = io };
	struct ctl_table t;
	int result;
	int errors;

	table_init(&t);
	errors = arg_parse(argc, argv, (void **)&t);
	if (t.help->count)
		result = print_help(&c, (void **)&t,
				    t.words->count ? t.words->sval[0] : NULL);
	else if (errors)
		result = print_errors(&c, &t);
	else if (parse_args(&c, &t) != CTL_DONE)
		result = CTL_USAGE;
	else
		result = run_command(&c, options_given(&t));
	arg_freetable((void **)&t, sizeof(t) / sizeof(void *));
	return result;
}
