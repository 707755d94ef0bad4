/** Budget of cold groups, and the marks of groups that turned cold unannounced. */
@NullMarked
package org.limpetring.routing.cold;

import org.jspecify.annotations.NullMarked;
