/* The event queue of the lab: a binary heap ordered by time, and by order of
 * scheduling for events at the same time. */
#include "lab_int.h"

static bool earlier(const LabEvent *a, const LabEvent *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

LabEvent *lab_schedule(Lab *lab, int64_t us, void (*fn)(Lab *, LabEvent *))
{
    LabEvent *e = g_new0(LabEvent, 1);
    GPtrArray *h = lab->heap;
    e->at_us = lab->now_us + us;
    e->order = lab->order++;
    e->fn = fn;
    g_ptr_array_add(h, e);
    for (guint i = h->len - 1; i;) {
        guint up = (i - 1) / 2;
        if (!earlier(h->pdata[i], h->pdata[up]))
            break;
        gpointer t = h->pdata[i];
        h->pdata[i] = h->pdata[up];
        h->pdata[up] = t;
        i = up;
    }
    return e;
}

LabEvent *lab_pop_event(Lab *lab)
{
    GPtrArray *h = lab->heap;
    LabEvent *first = h->pdata[0];
    guint n = h->len - 1;
    h->pdata[0] = h->pdata[n];
    g_ptr_array_set_size(h, (gint)n);
    for (guint i = 0, k; (k = 2 * i + 1) < n; i = k) {
        if (k + 1 < n && earlier(h->pdata[k + 1], h->pdata[k]))
            k++;
        if (!earlier(h->pdata[k], h->pdata[i]))
            break;
        gpointer t = h->pdata[i];
        h->pdata[i] = h->pdata[k];
        h->pdata[k] = t;
    }
    return first;
}
