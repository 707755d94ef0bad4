/** Tests of the tables. */
@NullMarked
package org.limpetring.tables;

import org.jspecify.annotations.NullMarked;
