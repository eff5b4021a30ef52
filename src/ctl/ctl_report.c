/* The service-level report: the hosts' counts added up, as text and plot. */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl_internal.h"

/* Sizes of the plot in pixels. */
#define PLOT_WIDTH 980
#define PLOT_LEFT 230
#define PLOT_RIGHT 190
/* Characters of a name that are shown; more would overlap the bars. */
#define PLOT_NAME_CHARS 28
#define PLOT_TOP 90
#define ROW_HEIGHT 74
#define BAR_HEIGHT 14
/* Burn at the right end of the axis: all answers are bad. */
#define BURN_MAX 100.0

struct report {
	uint32_t count;
	struct slo_report *customers;
};

static void report_clear(struct report *r)
{
	free(r->customers);
}

static struct slo_report *find_or_add(struct report *r, const char *name)
{
	uint32_t i;

	for (i = 0; i < r->count; i++) {
		if (strcmp(r->customers[i].customer, name) == 0)
			return &r->customers[i];
	}
	r->customers =
		util_grow(r->customers, r->count + 1, sizeof(*r->customers));
	memset(&r->customers[r->count], 0, sizeof(*r->customers));
	util_copy_str(r->customers[r->count].customer, NAME_BYTES, name);
	return &r->customers[r->count++];
}

static uint64_t read_count(const json_t *obj, const char *field)
{
	json_int_t value = json_integer_value(json_object_get(obj, field));

	return value > 0 ? (uint64_t)value : 0;
}

static void add_counts(struct slo_counts *to, const json_t *obj)
{
	to->good += read_count(obj, "good");
#define DEF(field) to->field += read_count(obj, #field);
	SLO_BAD_KINDS(DEF)
#undef DEF
}

static void add_answer(struct report *r, const json_t *answer)
{
	size_t i;
	json_t *c;

	json_array_foreach(json_object_get(answer, "customers"), i, c)
	{
		const char *name = ctl_json_text(c, "customer");
		struct slo_report *s;

		/*
		 * No contract has such a name; it could make the SVG invalid.
		 */
		if (!util_name_ok(name, NAME_BYTES - 1))
			continue;
		s = find_or_add(r, name);
		add_counts(&s->fast, json_object_get(c, "fast"));
		add_counts(&s->slow, json_object_get(c, "slow"));
	}
}

/* Thousandths as text: 12500 is "12.50". */
static const char *milli_text(uint64_t milli, char out[32])
{
	snprintf(out, 32, "%.2f", (double)milli / 1000.0);
	return out;
}

void ctl_report_text(const struct slo_report *r, uint32_t count,
		     struct buf *out)
{
	uint32_t i;

	if (!count) {
		buf_addf(out, "no answers counted in the last hour\n");
		return;
	}
	buf_addf(out, "%-20s %10s %10s %11s %10s %8s %8s %8s %8s  %s\n",
		 "customer", "burn 5 min", "burn 1 h", "budget left", "good",
		 "late", "partial", "refused", "lost", "spent by");
	for (i = 0; i < count; i++) {
		const struct slo_report *s = &r[i];
		char fast[32];
		char slow[32];

		buf_addf(out,
			 "%-20s %10s %10s %10u%% %10llu %8llu %8llu %8llu "
			 "%8llu  %s%s\n",
			 s->customer, milli_text(s->fast_burn_milli, fast),
			 milli_text(s->slow_burn_milli, slow),
			 s->budget_left_permille / 10,
			 (unsigned long long)s->slow.good,
			 (unsigned long long)s->slow.late,
			 (unsigned long long)s->slow.partial,
			 (unsigned long long)s->slow.refused,
			 (unsigned long long)s->slow.lost, s->spent_by,
			 s->alarm ? "  ALARM" : "");
	}
	buf_addf(out, "burn 1.00 spends the budget (1 bad answer in 100) "
		      "exactly; counts are of the last hour\n");
}

/*
 * Horizontal position in pixels of @burn, or of BURN_MAX if @burn is higher. On
 * a square-root scale both 1 and 100 are readable.
 */
static double axis_x(double burn)
{
	double width = PLOT_WIDTH - PLOT_LEFT - PLOT_RIGHT;
	double part = burn > BURN_MAX ? 1.0 : burn / BURN_MAX;
	double root = part > 0.0 ? 1.0 : 0.0;
	uint32_t i;

	for (i = 0; i < 30 && root > 0.0; i++)
		root = (root + part / root) / 2.0;
	return PLOT_LEFT + root * width;
}

static void svg_axis(uint32_t count, struct buf *out)
{
	static const double ticks[] = { 0, 1, 5, 14, 30, 50, 100 };
	uint32_t bottom = PLOT_TOP + count * ROW_HEIGHT;
	uint32_t i;

	for (i = 0; i < countof(ticks); i++) {
		double x = axis_x(ticks[i]);
		const char *colour = ticks[i] == 1    ? "#2a7a2a"
				     : ticks[i] == 14 ? "#b00020"
						      : "#cccccc";

		buf_addf(out,
			 "<line x1='%.1f' y1='%d' x2='%.1f' y2='%u' "
			 "stroke='%s'/>\n"
			 "<text x='%.1f' y='%u' text-anchor='middle'>%g</text>"
			 "\n",
			 x, PLOT_TOP - 10, x, bottom, colour, x, bottom + 16,
			 ticks[i]);
	}
	buf_addf(out,
		 "<text x='%.1f' y='%d' fill='#2a7a2a' text-anchor='middle'>"
		 "allowed</text>\n"
		 "<text x='%.1f' y='%d' fill='#b00020' text-anchor='middle'>"
		 "alarm</text>\n"
		 "<text x='%d' y='%u'>burn: multiples of the allowed rate of "
		 "bad answers (1 in 100)</text>\n",
		 axis_x(1), PLOT_TOP - 14, axis_x(14), PLOT_TOP - 14, PLOT_LEFT,
		 bottom + 36);
}

static void svg_bar(struct buf *out, uint32_t y, uint64_t milli,
		    const char *colour, const char *label)
{
	double x = axis_x((double)milli / 1000.0);

	buf_addf(out,
		 "<rect x='%d' y='%u' width='%.1f' height='%d' fill='%s'/>\n"
		 "<text x='%.1f' y='%u'>%s: %.2f</text>\n",
		 PLOT_LEFT, y, x - PLOT_LEFT, BAR_HEIGHT, colour, x + 6, y + 12,
		 label, (double)milli / 1000.0);
}

/* Bar of the bad answers of the last hour, divided by kind. */
static void svg_kinds(struct buf *out, uint32_t y, const struct slo_report *r)
{
	double width = PLOT_WIDTH - PLOT_LEFT - PLOT_RIGHT;
	double bad = (double)slo_bad_count(&r->slow);
	double x = PLOT_LEFT;
	uint32_t kind = 0;
	static const char *const colours[] = { "#e6a117", "#5b8fd9", "#8c8c8c",
					       "#b00020" };

#define DEF(field)                                                         \
	if (r->slow.field) {                                               \
		double part = width * (double)r->slow.field / bad;         \
		buf_addf(out,                                              \
			 "<rect x='%.1f' y='%u' width='%.1f' height='%d' " \
			 "fill='%s'/>\n",                                  \
			 x, y, part, BAR_HEIGHT, colours[kind]);           \
		x += part;                                                 \
	}                                                                  \
	kind++;
	SLO_BAD_KINDS(DEF)
#undef DEF
	if (bad > 0)
		buf_addf(out,
			 "<text x='%.1f' y='%u'>%.0f bad, most: %s</text>\n",
			 x + 6, y + 12, bad, r->spent_by);
}

static void svg_row(struct buf *out, uint32_t row, const struct slo_report *r)
{
	uint32_t y = PLOT_TOP + row * ROW_HEIGHT;

	buf_addf(out,
		 "<text x='10' y='%u' font-weight='bold'>%.*s</text>\n"
		 "<text x='10' y='%u'>budget left %u%%</text>\n",
		 y + 14, PLOT_NAME_CHARS, r->customer, y + 32,
		 r->budget_left_permille / 10);
	svg_bar(out, y, r->fast_burn_milli, r->alarm ? "#b00020" : "#3b6ea5",
		"5 min");
	svg_bar(out, y + BAR_HEIGHT + 4, r->slow_burn_milli, "#9dbbd8", "1 h");
	svg_kinds(out, y + 2 * (BAR_HEIGHT + 4), r);
}

void ctl_report_svg(const struct slo_report *r, uint32_t count, struct buf *out)
{
	uint32_t height = PLOT_TOP + count * ROW_HEIGHT + 60;
	uint32_t i;

	buf_addf(out,
		 "<svg xmlns='http://www.w3.org/2000/svg' width='%d' "
		 "height='%u' font-family='sans-serif' font-size='12'>\n"
		 "<rect width='%d' height='%u' fill='white'/>\n"
		 "<text x='10' y='24' font-size='16' font-weight='bold'>"
		 "Service-level burn by customer</text>\n"
		 "<text x='10' y='46'>third bar, bad answers of the last hour:"
		 " <tspan fill='#e6a117'>late</tspan>"
		 " <tspan fill='#5b8fd9'>partial</tspan>"
		 " <tspan fill='#8c8c8c'>refused</tspan>"
		 " <tspan fill='#b00020'>lost</tspan></text>\n",
		 PLOT_WIDTH, height, PLOT_WIDTH, height);
	svg_axis(count, out);
	for (i = 0; i < count; i++)
		svg_row(out, i, &r[i]);
	buf_addf(out, "</svg>\n");
}

static int write_svg(const struct ctl *c, const struct report *r)
{
	struct buf svg CLEANUP_BUF = { 0 };
	struct err err = { 0 };
	FILE *f;
	int ok;

	ctl_report_svg(r->customers, r->count, &svg);
	f = fopen(c->args.svg_path, "w");
	ok = f && fwrite(svg.data, 1, svg.len_bytes, f) == svg.len_bytes;
	if (f && fclose(f) != 0)
		ok = 0;
	if (ok)
		return CTL_DONE;
	err_set(&err, ERR_IO, "cannot write %s", c->args.svg_path);
	return ctl_fail(c, CTL_REFUSED, &err);
}

/*
 * Asks all addresses for @path and adds their answers up in @r. The error of a
 * failed call is printed and the next address asked; CTL_NOT_REACHABLE if all
 * calls failed. A refusal is printed and ends the command.
 */
static int collect(const struct ctl *c, const char *path, struct report *r)
{
	struct err err = { 0 };
	uint32_t answered = 0;
	uint32_t i;

	for (i = 0; i < c->args.address_count; i++) {
		struct ctl_answer a CLEANUP(ctl_answer_clear) = { 0 };
		enum err_code code = ctl_call_one(c, c->args.addresses[i],
						  "GET", path, NULL, &a, &err);

		if (code != ERR_OK) {
			ctl_fail(c, CTL_NOT_REACHABLE, &err);
			continue;
		}
		answered++;
		/*
		 * A host that has not served the customer answers with the HTTP
		 * status of ERR_UNKNOWN_CUSTOMER; its answer is left out.
		 */
		if (a.http_status == 200)
			add_answer(r, a.json);
		else if (a.http_status != err_http_status(ERR_UNKNOWN_CUSTOMER))
			return ctl_print_refusal(c, &a);
	}
	return answered ? CTL_DONE : CTL_NOT_REACHABLE;
}

static json_t *counts_json(const struct slo_counts *c)
{
	json_t *obj = json_pack("{s:I}", "good", (json_int_t)c->good);

#define DEF(field) \
	json_object_set_new(obj, #field, json_integer((json_int_t)c->field));
	SLO_BAD_KINDS(DEF)
#undef DEF
	return obj;
}

static int print_json(const struct ctl *c, const struct report *r)
{
	char *text CLEANUP_FREE = NULL;
	json_t *all = json_array();
	json_t *root = json_pack("{s:i,s:s,s:o}", "code", 0, "error", "OK",
				 "customers", all);
	uint32_t i;

	for (i = 0; i < r->count; i++) {
		const struct slo_report *s = &r->customers[i];

		json_t *obj = json_pack(
			"{s:s,s:I,s:I,s:I,s:s,s:b}", "customer", s->customer,
			"fast_burn_milli", (json_int_t)s->fast_burn_milli,
			"slow_burn_milli", (json_int_t)s->slow_burn_milli,
			"budget_left_permille",
			(json_int_t)s->budget_left_permille, "spent_by",
			s->spent_by, "alarm", (int)s->alarm);

		json_object_set_new(obj, "fast", counts_json(&s->fast));
		json_object_set_new(obj, "slow", counts_json(&s->slow));
		json_array_append_new(all, obj);
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	ctl_printf(c, CTL_STDOUT, "%s\n", text);
	return CTL_DONE;
}

int ctl_report(const struct ctl *c)
{
	struct report r CLEANUP(report_clear) = { 0 };
	struct buf text CLEANUP_BUF = { 0 };
	char path[256] = "report";
	int result;
	uint32_t i;

	if (c->args.word_count == 2)
		snprintf(path, sizeof(path), "report/%s", c->args.words[1]);
	result = collect(c, path, &r);
	if (result != CTL_DONE)
		return result;
	for (i = 0; i < r.count; i++)
		slo_evaluate(&r.customers[i]);
	if (c->args.svg_path[0] && write_svg(c, &r) != CTL_DONE)
		return CTL_REFUSED;
	if (c->args.as_json)
		return print_json(c, &r);
	ctl_report_text(r.customers, r.count, &text);
	c->io->print(c->io->ctx, CTL_STDOUT, text.data);
	return CTL_DONE;
}
