/* The pacing of requests to cold endpoints. */
#include "wp_pace.h"
#include "wp_recent.h"
#include "wp_share.h"

#include <math.h>

#define WINDOW_US ((int64_t)WP_PACE_WINDOW_MS * WP_US_PER_MS)

/* The part of the bound that boxes with one list of boxes use. With two lists
   that have nothing in common they would reach the bound. */
#define BOUND_PART 0.5

/* So much of that is for the boxes of the endpoint's zone, where most requests
   for it come from; the rest for the others. One part for all would send the
   requests of a small zone out of it. */
#define NEAR_PART 0.75

void wp_pace_boxes_init(WPPaceBoxes *b)
{
    const WPPaceBox self = { 0, "" };
    *b = (WPPaceBoxes){ .all = g_array_new(FALSE, FALSE, sizeof(WPPaceBox)) };
    wp_pace_boxes_set(b, &self, NULL, 0, 1);
}

void wp_pace_boxes_end(WPPaceBoxes *b)
{
    g_array_unref(b->all);
}

static void add_box(WPPaceBoxes *b, const WPPaceBox *box)
{
    const WPPaceBox own = { box->hash, g_intern_string(box->zone) };
    g_array_append_val(b->all, own);
}

void wp_pace_boxes_changed(WPPaceBoxes *b)
{
    b->change = MAX(b->change + 1, 1);
}

void wp_pace_boxes_set(WPPaceBoxes *b, const WPPaceBox *self,
                       const WPPaceBox *others, size_t n, unsigned least)
{
    g_array_set_size(b->all, 0);
    add_box(b, self);
    b->self = g_array_index(b->all, WPPaceBox, 0);
    for (size_t i = 0; i < n; i++)
        if (others[i].hash != self->hash)
            add_box(b, &others[i]);
    b->least = MAX(least, b->all->len);
    wp_pace_boxes_changed(b);
}

/* The boxes on this box's side of the endpoint's zone, in it or not. */
typedef struct Side {
    bool is_near;
    GArray *boxes;   /* WPShare, this box first */
    unsigned others; /* boxes on the other side */
} Side;

static void add_share(Side *s, uint64_t key)
{
    const WPShare share = { key, 1 };
    g_array_append_val(s->boxes, share);
}

static Side side_of(const WPPaceBoxes *b, const char *zone)
{
    Side s = { .is_near = !strcmp(b->self.zone, zone),
               .boxes = g_array_new(FALSE, FALSE, sizeof(WPShare)) };
    for (guint i = 0; i < b->all->len; i++) {
        const WPPaceBox *o = &g_array_index(b->all, WPPaceBox, i);
        if (!strcmp(o->zone, zone) == s.is_near)
            add_share(&s, o->hash);
        else
            s.others++;
    }
    /* Those that are not known may be on this side. */
    for (unsigned i = b->all->len; i < b->least; i++)
        add_share(&s, i);
    return s;
}

unsigned wp_pace_quota(const WPPaceBoxes *b, const WPPaceRules *r,
                       uint64_t endpoint, const char *zone)
{
    double bound = floor(r->per_s * r->overshoot + r->slack);
    unsigned all = (unsigned)MAX(bound * BOUND_PART, 1);
    unsigned near = (unsigned)ceil(all * NEAR_PART);
    Side s = side_of(b, zone);
    unsigned part = !s.others ? all : s.is_near ? near : all - near;
    unsigned quota = wp_share_of((const WPShare *)(void *)s.boxes->data,
                                 s.boxes->len, 0, part, endpoint);
    g_array_unref(s.boxes);
    return MIN(quota, WP_PACE_QUOTA_MOST);
}

void wp_pace_note(WPPace *p, WPTime now)
{
    wp_recent_add(p->sent_us, WP_PACE_QUOTA_MOST, &p->next, now);
}

int64_t wp_pace_free_us(const WPPace *p, unsigned quota)
{
    if (!quota)
        return INT64_MAX;
    return wp_recent_old_us(p->sent_us, WP_PACE_QUOTA_MOST, p->next, quota,
                            WINDOW_US);
}
