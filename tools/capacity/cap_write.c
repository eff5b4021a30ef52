/* Writes the series of struct cap as JSON and as plots in SVG. */
#include <stdio.h>

#include "base/util.h"
#include "cap.h"

/* Plots in one row. */
#define COLUMNS 3
/* Sizes in pixels. */
#define PLOT_WIDTH 320
#define PLOT_HEIGHT 200
#define MARGIN 40

static json_t *series_json(const struct cap_series *s)
{
	json_t *points = json_array();
	uint32_t i;

	for (i = 0; i < s->count; i++)
		json_array_append_new(points,
				      json_pack("[f,f]", s->x[i], s->y[i]));
	return json_pack("{s:s,s:s,s:f,s:f,s:f,s:o}", "x_unit", s->x_unit,
			 "y_unit", s->y_unit, "slope", s->slope, "slope_error",
			 s->slope_error, "intercept", s->intercept, "points",
			 points);
}

enum err_code cap_write_json(const struct cap *c, const char *path,
			     struct err *err)
{
	json_t *all = json_object();
	int failed;
	uint32_t i;

	for (i = 0; i < c->count; i++)
		json_object_set_new(all, c->series[i].name,
				    series_json(&c->series[i]));
	failed = json_dump_file(all, path,
				JSON_INDENT(1) | JSON_REAL_PRECISION(7));
	json_decref(all);
	if (failed)
		return err_set(err, ERR_IO, "cannot write %s", path);
	return ERR_OK;
}

/* Largest y, or 1 if none is above 0. */
static double max_y(const struct cap_series *s)
{
	double most = 0;
	uint32_t i;

	for (i = 0; i < s->count; i++)
		most = s->y[i] > most ? s->y[i] : most;
	return most > 0 ? most : 1;
}

static void plot(FILE *f, const struct cap_series *s, uint32_t at)
{
	double left = at % COLUMNS * (PLOT_WIDTH + MARGIN) + MARGIN;
	uint32_t row = at / COLUMNS + 1;
	double bottom = row * (double)(PLOT_HEIGHT + MARGIN);
	double x_scale = PLOT_WIDTH / s->x[s->count - 1];
	double y_scale = (PLOT_HEIGHT - MARGIN) / max_y(s);
	double end = s->intercept + s->slope * s->x[s->count - 1];
	uint32_t i;

	fprintf(f,
		"<text x='%.0f' y='%.0f'>%s: %.4g &#177; %.2g %s per %s</text>"
		"<path d='M%.0f %.0fV%.0fH%.0f' fill='none' stroke='#999'/>"
		"<line x1='%.1f' y1='%.1f' x2='%.1f' y2='%.1f' "
		"stroke='#36c'/>\n",
		left, bottom - PLOT_HEIGHT + 12, s->name, s->slope,
		s->slope_error, s->y_unit, s->x_unit, left,
		bottom - PLOT_HEIGHT + 18, bottom, left + PLOT_WIDTH, left,
		bottom - s->intercept * y_scale, left + PLOT_WIDTH,
		bottom - end * y_scale);
	for (i = 0; i < s->count; i++)
		fprintf(f,
			"<circle cx='%.1f' cy='%.1f' r='3' fill='#c33'/>"
			"<text x='%.1f' y='%.1f' text-anchor='end'>%.0f</text>"
			"<text x='%.1f' y='%.1f'>%.4g</text>\n",
			left + s->x[i] * x_scale, bottom - s->y[i] * y_scale,
			left + s->x[i] * x_scale, bottom + 10, s->x[i],
			left + s->x[i] * x_scale, bottom - s->y[i] * y_scale,
			s->y[i]);
}

enum err_code cap_write_svg(const struct cap *c, const char *path,
			    struct err *err)
{
	FILE *f = fopen(path, "we");
	uint32_t rows = (c->count + COLUMNS - 1) / COLUMNS;
	uint32_t i;

	if (!f)
		return err_set(err, ERR_IO, "cannot write %s", path);
	fprintf(f,
		"<svg xmlns='http://www.w3.org/2000/svg' width='%d' "
		"height='%u' font-family='sans-serif' font-size='9'>\n",
		COLUMNS * (PLOT_WIDTH + MARGIN) + 2 * MARGIN,
		rows * (PLOT_HEIGHT + MARGIN) + MARGIN);
	for (i = 0; i < c->count; i++)
		plot(f, &c->series[i], i);
	fprintf(f, "</svg>\n");
	fclose(f);
	return ERR_OK;
}
