/** Decides which hosts form which groups, and who plans. */
@NullMarked
package org.limpetring.entry.group;

import org.jspecify.annotations.NullMarked;
