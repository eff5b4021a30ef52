/* Declarations shared by the files of this folder; see ctl.h. */
#ifndef CTL_INTERNAL_H
#define CTL_INTERNAL_H

#include <jansson.h>

#include "controller/slo.h"
#include "ctl/ctl.h"

#define CTL_ADDRESSES_MAX 64
#define CTL_ADDRESS_BYTES 64
#define CTL_WORDS_MAX 4
#define CTL_DOCUMENT_BYTES_MAX 1048576

/* The command line. */
struct ctl_args {
	/* Command words and operands, such as "dc", "out", "b". */
	uint32_t word_count;
	const char *words[CTL_WORDS_MAX];
	uint32_t as_json;
	uint32_t wait;
	uint32_t address_count;
	char addresses[CTL_ADDRESSES_MAX][CTL_ADDRESS_BYTES];
	const char *token;
	/* Values of the options of these names; "" when not given. */
	const char *from;
	const char *to;
	const char *reason;
	const char *svg_path;
	/* 0 when not given. */
	int32_t finish_in_s;
	/* 0 when not given. */
	int64_t if_rev;
	/* Longest time that --wait waits. */
	int32_t timeout_s;
};

struct ctl {
	const struct ctl_io *io;
	struct ctl_args args;
};

/* An answer of the admin API. */
struct ctl_answer {
	uint32_t http_status;
	struct buf text;
	/* The parsed text, or NULL if it was not parsed. */
	json_t *json;
};

void ctl_answer_clear(struct ctl_answer *a);
void ctl_printf(const struct ctl *c, enum ctl_stream to, const char *fmt, ...)
	PRINTF_LIKE(3, 4);
/* Prints an error with its number and name; returns @result. */
int ctl_fail(const struct ctl *c, int result, const struct err *err);
/*
 * Sends a call to the first address that can be connected to. Returns CTL_DONE
 * with an answer of HTTP status 200, or prints the error and returns the exit
 * code.
 */
int ctl_call(const struct ctl *c, const char *method, const char *path,
	     const char *body, struct ctl_answer *out);
/* Sends a call to one address; prints nothing. */
enum err_code ctl_call_one(const struct ctl *c, const char *address,
			   const char *method, const char *path,
			   const char *body, struct ctl_answer *out,
			   struct err *err);
/* Prints the error in the answer of a host; returns CTL_REFUSED. */
int ctl_print_refusal(const struct ctl *c, const struct ctl_answer *a);
/* Field of a JSON object as text; "" when absent. */
const char *ctl_json_text(const json_t *obj, const char *field);

/* Sends a change and, with --wait, polls it until it has ended. */
int ctl_send_change(const struct ctl *c, const char *method, const char *path,
		    const char *body);
/* Prints change @id; with --wait, polls it until it has ended. */
int ctl_show_change(const struct ctl *c, const char *id);

/* ctl_commands.c */
/* Options that only some commands take, as bits. */
enum ctl_option {
	CTL_OPT_FROM = 1,
	CTL_OPT_TO = 2,
	CTL_OPT_FINISH = 4,
	CTL_OPT_REASON = 8,
	CTL_OPT_SVG = 16,
	CTL_OPT_IF_REV = 32,
	CTL_OPT_WAIT = 64
};
#define CTL_OPT_CHANGE (CTL_OPT_IF_REV | CTL_OPT_WAIT)
#define CTL_OPT_START (CTL_OPT_FROM | CTL_OPT_TO | CTL_OPT_FINISH)

typedef int ctl_command_fn(const struct ctl *c);

struct ctl_command {
	const char *object;
	/* NULL: the object is the whole command. */
	const char *verb;
	/* Operands after the command's words. */
	uint32_t operands_min;
	uint32_t operands_max;
	/* Masks of enum ctl_option. */
	uint32_t options_allowed;
	uint32_t options_required;
	const char *operands_help;
	const char *help;
	ctl_command_fn *fn;
};

extern const struct ctl_command ctl_commands[];
extern const uint32_t ctl_command_count;
/* Operand @i of the command line, counted from its end; 0 is the last one. */
const char *ctl_operand(const struct ctl *c, uint32_t i);

/* ctl_report.c */
int ctl_report(const struct ctl *c);
/* Table of the reports as text. */
void ctl_report_text(const struct slo_report *r, uint32_t count,
		     struct buf *out);
/* Plot of the burn and of the kinds of bad answers, as SVG. */
void ctl_report_svg(const struct slo_report *r, uint32_t count,
		    struct buf *out);

#endif
