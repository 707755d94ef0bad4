package org.limpetring.tables;

/**
 * One reason why a table or a settings file is refused.
 *
 * @param table file or table that it stands in
 * @param line line number from 1, or 0 where the mistake has no line
 * @param field path of the field, as a JSON pointer
 * @param reason what is wrong, in words
 */
public record TableMistake(String table, int line, String field, String reason) {

  @Override
  public String toString() {
    return table + ":" + line + ": " + field + ": " + reason;
  }
}
