#include "program.h"

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#include "base/signals.h"
#include "base/util.h"
#include "ctl/ctl.h"
#include "ctl/explain.h"
#include "duty/gateway.h"
#include "duty/serve.h"

#define VERSION "0.1.0"
#define EXIT_USAGE 2

struct subcommand {
	const char *name;
	int (*run)(int argc, char **argv);
	/* 1: it handles signals itself. */
	int is_host;
	const char *help;
};

static const struct subcommand subcommands[] = {
	{ "serve", serve_main, 1, "run one host" },
	{ "gateway", gateway_main, 1, "run one host on the users' platform" },
	{ "check", gateway_check_main, 0,
	  "check a settings file of the gateway" },
	{ "explain", explain_main, 0, "follow a request through the logs" },
	{ "ctl", ctl_main, 0, "operate the system over the admin API" },
};

static void usage(FILE *out)
{
	uint32_t i;

	fprintf(out, "usage: cowslippoint SUBCOMMAND [--help] [...]\n"
		     "       cowslippoint --version\n\n");
	for (i = 0; i < countof(subcommands); i++)
		fprintf(out, "  %-8s %s\n", subcommands[i].name,
			subcommands[i].help);
	fprintf(out, "\nexit status: 0 done, 1 failed or refused, 2 wrong "
		     "usage, 3 not reachable (ctl)\n");
}

int program_main(int argc, char **argv)
{
	uint32_t i;

	apr_initialize();
	if (argc < 2) {
		usage(stderr);
		return EXIT_USAGE;
	}
	if (strcmp(argv[1], "--version") == 0) {
		printf("cowslippoint %s\n", VERSION);
		return 0;
	}
	if (strcmp(argv[1], "--help") == 0) {
		usage(stdout);
		return 0;
	}
	for (i = 0; i < countof(subcommands); i++) {
		if (strcmp(argv[1], subcommands[i].name) != 0)
			continue;
		if (!subcommands[i].is_host)
			signals_unblock();
		return subcommands[i].run(argc - 1, argv + 1);
	}
	fprintf(stderr, "cowslippoint: \"%.40s\" is not a subcommand\n",
		argv[1]);
	usage(stderr);
	return EXIT_USAGE;
}
